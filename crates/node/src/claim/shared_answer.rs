use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use calls::CallFailure;
use smol_str::SmolStr;
use tokio::sync::watch;

/// HTTP status and content type of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// Value of `Content-Type`.
    pub content_type: SmolStr,
}

/// Next part of a shared answer, as a reader receives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerPart {
    /// Bytes of the body.
    Chunk(Bytes),
    /// The answer is complete and was read to its end.
    End,
    /// The answer is incomplete and ends here.
    Failed(CallFailure),
}

#[derive(Debug, Default)]
struct AnswerState {
    head: Option<AnswerHead>,
    chunks: Vec<Bytes>,
    end: Option<AnswerPart>,
}

/// Answer that one run writes while any number of callers read it; clones share it.
///
/// ```
/// use node::{AnswerHead, SharedAnswer};
/// let answer = SharedAnswer::new();
/// answer.set_head(AnswerHead { status: 200, content_type: "text/plain".into() });
/// answer.push("part".into());
/// answer.end();
/// assert_eq!(answer.complete_body().unwrap(), "part");
/// ```
#[derive(Clone, Debug)]
pub struct SharedAnswer {
    state: Arc<Mutex<AnswerState>>,
    changed: watch::Sender<u64>,
}

impl SharedAnswer {
    /// Creates an answer without content.
    pub fn new() -> Self {
        Self {
            state: Arc::default(),
            changed: watch::Sender::new(0),
        }
    }

    /// Sets the head; later calls have no effect.
    pub fn set_head(&self, head: AnswerHead) {
        self.change(|state| {
            state.head.get_or_insert(head);
        });
    }

    /// Appends bytes to the body.
    pub fn push(&self, chunk: Bytes) {
        if !chunk.is_empty() {
            self.change(|state| state.chunks.push(chunk));
        }
    }

    /// Marks the answer as complete, unless it has ended already.
    pub fn end(&self) {
        self.change(|state| {
            state.end.get_or_insert(AnswerPart::End);
        });
    }

    /// Ends the answer as incomplete, unless it has ended already.
    pub fn fail(&self, failure: CallFailure) {
        self.change(|state| {
            state.end.get_or_insert(AnswerPart::Failed(failure));
        });
    }

    /// Returns the body if the answer is complete.
    pub fn complete_body(&self) -> Option<Bytes> {
        let state = self.lock();
        matches!(state.end, Some(AnswerPart::End)).then(|| state.chunks.concat().into())
    }

    /// Returns the head; `None` before it is set.
    pub fn head(&self) -> Option<AnswerHead> {
        self.lock().head.clone()
    }

    /// Waits for the head.
    ///
    /// # Errors
    /// The failure of the answer, if it came before the head.
    pub async fn wait_head(&self) -> Result<AnswerHead, CallFailure> {
        let mut changed = self.changed.subscribe();
        loop {
            {
                let state = self.lock();
                match (&state.head, &state.end) {
                    (Some(head), _) => return Ok(head.clone()),
                    (None, Some(AnswerPart::Failed(failure))) => return Err(*failure),
                    _ => {}
                }
            }
            // The sender lives as long as `self`.
            let _ = changed.changed().await;
        }
    }

    /// Waits for the part that follows the first `read` chunks.
    pub async fn wait_part(&self, read: usize) -> AnswerPart {
        let mut changed = self.changed.subscribe();
        loop {
            {
                let state = self.lock();
                match (state.chunks.get(read), &state.end) {
                    (Some(chunk), _) => return AnswerPart::Chunk(chunk.clone()),
                    (None, Some(end)) => return end.clone(),
                    _ => {}
                }
            }
            // The sender lives as long as `self`.
            let _ = changed.changed().await;
        }
    }

    fn change(&self, edit: impl FnOnce(&mut AnswerState)) {
        edit(&mut self.lock());
        self.changed.send_modify(|version| *version += 1);
    }

    fn lock(&self) -> MutexGuard<'_, AnswerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for SharedAnswer {
    fn default() -> Self {
        Self::new()
    }
}
