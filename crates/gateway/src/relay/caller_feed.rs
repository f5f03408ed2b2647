use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use futures_util::stream::unfold;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};
use web::{BodyError, WebBody, stream_body};

/// Chunks that wait for a slow caller before the target is no longer read.
const CHUNK_LIMIT: usize = 16;

/// How a chunk went to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedEnd {
    /// It waits for the caller or was sent.
    Taken,
    /// The caller closed its connection.
    CallerGone,
    /// The caller did not read in time.
    TimedOut,
}

/// Where the body of a caller's answer is fed.
///
/// The body ends as complete only after `complete`; a feed that is dropped before breaks it off.
pub struct CallerFeed {
    sender: mpsc::Sender<Bytes>,
    is_whole: Arc<AtomicBool>,
}

impl CallerFeed {
    /// Creates a feed and the body that it feeds.
    pub fn new() -> (Self, WebBody) {
        let (sender, receiver) = mpsc::channel(CHUNK_LIMIT);
        let is_whole = Arc::new(AtomicBool::new(false));
        let feed = Self {
            sender,
            is_whole: is_whole.clone(),
        };
        let chunks = unfold(Some((receiver, is_whole)), |state| async move {
            let (mut receiver, is_whole) = state?;
            if let Some(chunk) = receiver.recv().await {
                return Some((Ok(chunk), Some((receiver, is_whole))));
            }
            if is_whole.load(Ordering::Acquire) {
                return None;
            }
            let reason = "answer broken off".to_owned();
            Some((Err(BodyError::Aborted { reason }), None))
        });
        (feed, stream_body(chunks))
    }

    /// Feeds a chunk, waiting until `until` for a caller that reads slowly.
    pub async fn send(&self, chunk: Bytes, until: Instant) -> FeedEnd {
        match timeout_at(until, self.sender.send(chunk)).await {
            Ok(Ok(())) => FeedEnd::Taken,
            Ok(Err(_)) => FeedEnd::CallerGone,
            Err(_) => FeedEnd::TimedOut,
        }
    }

    /// Lets the body end as complete.
    pub fn complete(&self) {
        self.is_whole.store(true, Ordering::Release);
    }

    /// Waits until the caller is gone.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }
}
