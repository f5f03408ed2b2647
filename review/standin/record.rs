//! The record of a run: what was sent, answered and run, with milliseconds since the start.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();

/// Opens `record.txt` in the case's folder.
pub fn open(folder: &str) {
    let path = std::path::Path::new(folder).join("record.txt");
    let file = File::create(path).unwrap_or_else(|error| {
        eprintln!("record.txt can't be written: {error}");
        std::process::exit(2);
    });
    let _ = RECORD.set((Instant::now(), Mutex::new(file)));
}

/// Milliseconds since the start.
pub fn now_ms() -> u64 {
    RECORD
        .get()
        .map_or(0, |(start, _)| start.elapsed().as_millis() as u64)
}

/// Writes one line to the record and to standard output.
pub fn line(text: &str) {
    let Some((_, file)) = RECORD.get() else {
        return;
    };
    let text = format!("{:>7} ms  {text}\n", now_ms());
    print!("{text}");
    if let Ok(mut file) = file.lock() {
        let _ = file.write_all(text.as_bytes());
    }
}

/// Sleeps until `at` milliseconds since the start.
pub fn sleep_until(at: u64) {
    let left = at.saturating_sub(now_ms());
    std::thread::sleep(std::time::Duration::from_millis(left));
}

/// Sleeps for `span` milliseconds.
pub fn sleep(span: u64) {
    std::thread::sleep(std::time::Duration::from_millis(span));
}
