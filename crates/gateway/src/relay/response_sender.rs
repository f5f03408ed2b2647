use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use futures_util::stream::unfold;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};
use web::{BodyError, WebBody, stream_body};

/// Chunks queued for a slow caller; when the queue is full, the target is no longer read.
const QUEUED_CHUNKS: usize = 16;

/// Result of handing a chunk to the caller's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChunkOutcome {
    /// The chunk is queued or already sent.
    Queued,
    /// The caller closed its connection.
    CallerGone,
    /// The caller did not read in time.
    TimedOut,
}

/// Sending half of a caller's streamed response body.
///
/// The body ends as complete only after `complete` was called; if the sender is dropped before, the
/// body ends with an error, which breaks the caller's connection.
pub struct ResponseSender {
    sender: mpsc::Sender<Bytes>,
    is_complete: Arc<AtomicBool>,
}

impl ResponseSender {
    /// Creates a sender and the body that receives its chunks.
    pub fn new() -> (Self, WebBody) {
        let (sender, receiver) = mpsc::channel(QUEUED_CHUNKS);
        let is_complete = Arc::new(AtomicBool::new(false));
        let sender = Self {
            sender,
            is_complete: is_complete.clone(),
        };
        let chunks = unfold(Some((receiver, is_complete)), |state| async move {
            let (mut receiver, is_complete) = state?;
            if let Some(chunk) = receiver.recv().await {
                return Some((Ok(chunk), Some((receiver, is_complete))));
            }
            if is_complete.load(Ordering::Acquire) {
                return None;
            }
            let reason = "response broken off before its end".to_owned();
            Some((Err(BodyError::Aborted { reason }), None))
        });
        (sender, stream_body(chunks))
    }

    /// Queues a chunk, waiting until `deadline` for a caller that reads slowly.
    pub async fn send(&self, chunk: Bytes, deadline: Instant) -> ChunkOutcome {
        match timeout_at(deadline, self.sender.send(chunk)).await {
            Ok(Ok(())) => ChunkOutcome::Queued,
            Ok(Err(_)) => ChunkOutcome::CallerGone,
            Err(_) => ChunkOutcome::TimedOut,
        }
    }

    /// Whether the queue is full, as the caller reads slowly.
    pub fn is_full(&self) -> bool {
        self.sender.capacity() == 0
    }

    /// Marks the body as complete, so that it ends without an error when the sender is dropped.
    pub fn complete(&self) {
        self.is_complete.store(true, Ordering::Release);
    }

    /// Runs `work` to its end; `None` if the caller closes its connection before that.
    pub async fn while_open<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            () = self.closed() => None,
            output = work => Some(output),
        }
    }

    /// Waits until the caller has closed its connection.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }
}
