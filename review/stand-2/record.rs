//! The record of a run, `record.txt`.

use std::{
    fs::File,
    io::Write,
    path::PathBuf,
    sync::{Arc, Mutex, PoisonError},
    time::Instant,
};

/// Writes lines with the seconds since its start to a file and to standard output.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates `record.txt` in the folder that the first argument of the program names.
    pub fn create() -> Self {
        let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
        let path = PathBuf::from(folder).join("record.txt");
        let file = File::create(path).expect("record.txt should be writable");
        Self { started: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.started.elapsed().as_secs_f64());
        print!("{line}");
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        file.write_all(line.as_bytes()).expect("record.txt should be writable");
    }
}
