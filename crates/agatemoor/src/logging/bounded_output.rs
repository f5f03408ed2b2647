use std::io::{Write, stdout};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

use base::EventKind;
use fern::Output;
use log::LevelFilter;

use super::LogFormat;
use super::log_format::make_dispatch;

/// Lines that wait for a slow reader; some seconds of a busy node.
const LINE_LIMIT: usize = 4_096;
/// Pause between two writes, so that lines share a write.
const WRITE_PAUSE: Duration = Duration::from_millis(20);

/// Writes JSON lines to standard output from a thread of its own.
///
/// Logging never waits: when the reader is too slow, lines are dropped, and the next line tells
/// how many.
pub fn start_bounded_logging(level: LevelFilter) {
    let (sender, receiver) = sync_channel(LINE_LIMIT);
    let dropped = Arc::new(AtomicU64::new(0));
    let output = line_output(sender, dropped.clone());
    // A logger that was set before goes on; the writer then ends with its sender.
    drop(make_dispatch(LogFormat::Json, level).chain(output).apply());
    thread::spawn(move || write_lines(&receiver, &dropped));
}

fn line_output(sender: SyncSender<String>, dropped: Arc<AtomicU64>) -> Output {
    Output::call(move |record| {
        if sender.try_send(record.args().to_string()).is_err() {
            dropped.fetch_add(1, Ordering::Relaxed);
        }
    })
}

fn write_lines(receiver: &Receiver<String>, dropped: &AtomicU64) {
    while let Ok(first) = receiver.recv() {
        let mut text = first;
        text.push('\n');
        for line in receiver.try_iter() {
            text.push_str(&line);
            text.push('\n');
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let number = EventKind::LogLinesDropped.number();
            text.push_str(&format!("{{\"event\":{number},\"dropped\":{lost}}}\n"));
        }
        // Without a reader there is nobody to tell.
        if stdout().write_all(text.as_bytes()).is_err() {
            return;
        }
        thread::sleep(WRITE_PAUSE);
    }
}
