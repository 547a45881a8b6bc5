//! The record of a case: what was sent, answered and run, with the time in milliseconds.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Writer of `record.txt`, shared by all stand-ins of a case.
#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, Instant)>);

impl Record {
    /// Creates `record.txt` in the folder that the environment variable `CASE_DIR` names.
    pub fn create() -> Self {
        let dir = std::env::var("CASE_DIR").expect("run.sh sets CASE_DIR");
        let file = File::create(format!("{dir}/record.txt")).expect("record.txt is writable");
        Self(Arc::new((Mutex::new(file), Instant::now())))
    }

    /// Returns the milliseconds since the case began.
    pub fn now_ms(&self) -> u64 {
        self.0.1.elapsed().as_millis() as u64
    }

    /// Writes one line with the present time, also to standard output.
    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:>7} ms  {}\n", self.now_ms(), text.as_ref());
        let mut file = self.0.0.lock().unwrap_or_else(|err| err.into_inner());
        let _ = file.write_all(line.as_bytes());
        let _ = std::io::stdout().write_all(line.as_bytes());
    }
}
