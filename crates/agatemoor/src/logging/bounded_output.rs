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

/// Most log lines queued for a slow reader; a busy node writes as many in a few seconds.
const QUEUE_CAPACITY: usize = 4_096;
/// Pause between two writes, so that several lines are written at once.
const WRITE_INTERVAL: Duration = Duration::from_millis(20);

/// Starts a thread that writes the log as JSON lines to standard output.
///
/// Logging never blocks: if the queue is full because the reader is too slow, lines are dropped,
/// and the next write reports how many.
pub fn start_bounded_logging(level: LevelFilter) {
    let (sender, receiver) = sync_channel(QUEUE_CAPACITY);
    let dropped = Arc::new(AtomicU64::new(0));
    let output = queue_output(sender, dropped.clone());
    // If a logger is already set, it stays in use; the writer thread then ends, because the sender
    // of its queue is dropped.
    drop(make_dispatch(LogFormat::Json, level).chain(output).apply());
    thread::spawn(move || write_lines(&receiver, &dropped));
}

fn queue_output(sender: SyncSender<String>, dropped: Arc<AtomicU64>) -> Output {
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
        let dropped_lines = dropped.swap(0, Ordering::Relaxed);
        if dropped_lines > 0 {
            let number = EventKind::LogLinesDropped.number();
            text.push_str(&format!(
                "{{\"event\":{number},\"dropped\":{dropped_lines}}}\n"
            ));
        }
        // Standard output is closed, so no later line can be written either.
        if stdout().write_all(text.as_bytes()).is_err() {
            return;
        }
        thread::sleep(WRITE_INTERVAL);
    }
}
