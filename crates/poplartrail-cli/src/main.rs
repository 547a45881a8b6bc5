//! Entry point of `poplartrail`, the command-line tool for operators.

use std::process::ExitCode;

use poplartrail_cli::{commands, options};

fn main() -> ExitCode {
    let command = match options().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(100);
            return if failure.exit_code() == 0 { ExitCode::SUCCESS } else { ExitCode::from(2) };
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    match runtime {
        Ok(runtime) => runtime.block_on(commands::run(command)).into(),
        Err(err) => {
            eprintln!(
                "poplartrail: cannot start the runtime ({err}): raise the limit on open files"
            );
            ExitCode::from(4)
        }
    }
}
