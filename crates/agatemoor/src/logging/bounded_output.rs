use std::io::{self, Write, stdout};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

use base::EventKind;
use fern::Output;
use log::LevelFilter;

use super::LogFormat;
use super::log_format::make_dispatch;

/// Most log lines queued for a slow reader; a busy node writes as many in a few seconds.
const QUEUE_CAPACITY: usize = 4_096;
/// Pause between two writes, so that several lines are written at once.
const WRITE_INTERVAL: Duration = Duration::from_millis(20);

/// Longest time that the end of the process waits for queued lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);
/// Pause before another attempt to add to a full queue.
const FLUSH_RETRY_PAUSE: Duration = Duration::from_millis(5);

/// Message to the thread that writes the log.
enum LogMessage {
    Line(String),
    /// Asks for a message back once all lines before it are written.
    Flush(SyncSender<()>),
}

/// Thread that writes the log, as seen from the end of the process.
#[derive(Clone)]
pub struct LogWriter {
    queue: SyncSender<LogMessage>,
}

impl LogWriter {
    /// Waits until the lines logged so far are written, but not for a reader that is too slow.
    pub fn flush(&self) {
        let end = Instant::now() + FLUSH_TIMEOUT;
        let (sender, written) = sync_channel(1);
        while self
            .queue
            .try_send(LogMessage::Flush(sender.clone()))
            .is_err()
        {
            if Instant::now() >= end {
                return;
            }
            thread::sleep(FLUSH_RETRY_PAUSE);
        }
        // Without an answer in time, the reader is too slow or gone, and the lines are lost.
        let _ = written.recv_timeout(end.saturating_duration_since(Instant::now()));
    }
}

/// Starts a thread that writes the log as JSON lines to standard output.
///
/// Logging never blocks: if the queue is full because the reader is too slow, lines are dropped,
/// and the next write reports how many.
///
/// # Errors
/// If the thread can't be created, as under a limit of threads or memory.
pub fn start_bounded_logging(level: LevelFilter) -> io::Result<LogWriter> {
    let (sender, receiver) = sync_channel(QUEUE_CAPACITY);
    let dropped = Arc::new(AtomicU64::new(0));
    let output = queue_output(sender.clone(), dropped.clone());
    // If a logger is already set, it stays in use; the writer thread then ends, because the sender
    // of its queue is dropped.
    drop(make_dispatch(LogFormat::Json, level).chain(output).apply());
    let thread = thread::Builder::new().name("log".to_owned());
    thread.spawn(move || write_lines(&receiver, &dropped))?;
    Ok(LogWriter { queue: sender })
}

fn queue_output(sender: SyncSender<LogMessage>, dropped: Arc<AtomicU64>) -> Output {
    Output::call(move |record| {
        let line = LogMessage::Line(record.args().to_string());
        if sender.try_send(line).is_err() {
            dropped.fetch_add(1, Ordering::Relaxed);
        }
    })
}

fn write_lines(receiver: &Receiver<LogMessage>, dropped: &AtomicU64) {
    while let Ok(first) = receiver.recv() {
        let mut text = String::new();
        let mut flushes = Vec::new();
        for message in std::iter::once(first).chain(receiver.try_iter()) {
            match message {
                LogMessage::Line(line) => {
                    text.push_str(&line);
                    text.push('\n');
                }
                LogMessage::Flush(sender) => flushes.push(sender),
            }
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
        for sender in flushes {
            // The process that asked may have stopped waiting.
            let _ = sender.try_send(());
        }
        thread::sleep(WRITE_INTERVAL);
    }
}
