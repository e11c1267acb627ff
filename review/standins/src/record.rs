//! The record of a run: what was sent, answered and run, with the seconds since the start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    start: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Record> {
        Ok(Record { start: Instant::now(), file: Mutex::new(BufWriter::new(File::create(path)?)) })
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {text}", self.start.elapsed().as_secs_f64());
        let _ = file.flush();
    }
}
