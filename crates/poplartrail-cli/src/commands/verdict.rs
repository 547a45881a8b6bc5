//! `verdict`: prints the verdict on an earlier change.

use poplartrail_core::config::ChangeId;

use crate::{
    Exit, LogOptions,
    commands::{publish, report_unreachable},
    fleet::FleetReader,
};

pub(crate) async fn run(options: &LogOptions, change: &str) -> Exit {
    let Ok(id) = u128::from_str_radix(change, 16) else {
        eprintln!("poplartrail: {change:?} is no change: give the 32 digits that publish printed");
        return Exit::Refused;
    };
    let mut reader = match FleetReader::new(options.log) {
        Ok(reader) => reader,
        Err(err) => return report_unreachable(&err),
    };
    if let Err(err) = reader.read_config().await {
        return report_unreachable(&err);
    }
    let id = ChangeId(id);
    publish::print_verdict(options.json, id, reader.config_state.verdict(id))
}
