use std::fmt::Write;

use bytes::{Bytes, BytesMut};
use calls::CallFailure;

use super::{AnswerCollector, ResumeToken};
use crate::caller::error_object;

/// Minimum number of bytes by which the chunk buffer grows. The buffer is reused once the previous
/// chunk is written, so a larger value only costs memory for every open stream.
const CHUNK_CAPACITY: usize = 512;

/// Writes an answer in the form that the caller asked for: a stream of events or one object.
pub enum AnswerWriter {
    /// Server-sent events.
    Stream {
        /// Bytes that `take_chunk` has not taken yet.
        chunk: BytesMut,
        /// Resume token with which every event id starts, once the generation is known.
        token: Option<String>,
    },
    /// One JSON object.
    Buffered(AnswerCollector),
}

impl AnswerWriter {
    /// Creates a writer of server-sent events, or of one JSON object if not `streamed`.
    ///
    /// ```
    /// let _writer = node::AnswerWriter::new(true);
    /// ```
    pub fn new(streamed: bool) -> Self {
        match streamed {
            true => Self::Stream {
                chunk: BytesMut::new(),
                token: None,
            },
            false => Self::Buffered(AnswerCollector::new()),
        }
    }

    /// Tells whether the caller gets server-sent events.
    pub fn is_streamed(&self) -> bool {
        matches!(self, Self::Stream { .. })
    }

    /// Sets the resume token with which event ids start.
    pub fn set_token(&mut self, resume: &ResumeToken) {
        if let Self::Stream { token, .. } = self {
            *token = Some(resume.to_string());
        }
    }

    /// Writes the chunk of one token.
    pub fn write_token(&mut self, offset: u64, data: &[u8]) {
        match self {
            Self::Stream { chunk, token } => {
                write_event(chunk, token.as_deref(), offset, data);
            }
            Self::Buffered(collector) => collector.add(data),
        }
    }

    /// Writes the end of the answer; `data` reports the number of tokens as usage.
    ///
    /// The event has no id, so a caller that reconnects after it gets it again.
    pub fn write_end(&mut self, data: &[u8]) {
        match self {
            Self::Stream { chunk, .. } => {
                write_event(chunk, None, 0, data);
                chunk.extend_from_slice(b"data: [DONE]\n\n");
            }
            Self::Buffered(collector) => collector.add(data),
        }
    }

    /// Writes an error event into a stream that has begun; no `[DONE]` follows it.
    pub fn write_failure(&mut self, failure: &CallFailure) {
        if let Self::Stream { chunk, .. } = self {
            let text = error_object(failure, failure.kind.into()).to_string();
            chunk.extend_from_slice(b"data: ");
            chunk.extend_from_slice(text.as_bytes());
            chunk.extend_from_slice(b"\n\n");
        }
    }

    /// Discards the collected part of a buffered answer.
    pub fn discard(&mut self) {
        if let Self::Buffered(collector) = self {
            collector.clear();
        }
    }

    /// Takes the bytes that are ready for the caller; a buffered answer is only ready at its end.
    pub fn take_chunk(&mut self) -> Option<Bytes> {
        match self {
            Self::Stream { chunk, .. } if !chunk.is_empty() => Some(chunk.split().freeze()),
            _ => None,
        }
    }

    /// Takes the last bytes of a complete answer.
    pub fn finish(&mut self) -> Option<Bytes> {
        match self {
            Self::Stream { .. } => self.take_chunk(),
            Self::Buffered(collector) => Some(collector.finish()),
        }
    }
}

fn write_event(chunk: &mut BytesMut, token: Option<&str>, offset: u64, data: &[u8]) {
    let needed = data.len() + token.map_or(0, str::len) + 64;
    if chunk.capacity() - chunk.len() < needed {
        chunk.reserve(needed.max(CHUNK_CAPACITY));
    }
    if let Some(token) = token {
        // Writing to a buffer that grows can't fail.
        let _ = writeln!(chunk, "id: {token}.{offset}");
    }
    chunk.extend_from_slice(b"data: ");
    chunk.extend_from_slice(data);
    chunk.extend_from_slice(b"\n\n");
}
