use bytes::Bytes;

use crate::BodyError;
use crate::error::{NoRoomSnafu, TooLargeSnafu};

/// Bytes by which a buffer grows at most beyond what it needs.
const MAX_GROWTH: usize = 256 << 10;

/// Buffer into which the parts of a body are copied.
///
/// Each part would keep the buffer alive into which it was read, so that a body in parts of a few bytes
/// would take many times its size.
///
/// ```
/// let mut buffer = web::BodyBuffer::new(8);
/// buffer.push(b"part", |_| true).unwrap();
/// assert!(buffer.push(b"too long", |_| true).is_err());
/// assert!(buffer.push(b"end.", |_| false).is_err());
/// assert_eq!(buffer.into_bytes(), "part");
/// ```
#[derive(Debug, Default)]
pub struct BodyBuffer {
    content: Vec<u8>,
    limit: usize,
}

impl BodyBuffer {
    /// Creates an empty buffer for a body of up to `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            content: Vec::new(),
            limit,
        }
    }

    /// Makes room for a body of `bytes`, if `has_room` says that there is memory for it.
    ///
    /// # Errors
    /// `TooLarge` or `NoRoom`.
    pub fn reserve(
        &mut self,
        bytes: usize,
        has_room: impl FnOnce(usize) -> bool,
    ) -> Result<(), BodyError> {
        let limit = self.limit;
        if bytes > limit {
            return TooLargeSnafu { limit }.fail();
        }
        if bytes <= self.content.capacity() {
            return Ok(());
        }
        if !has_room(bytes) {
            return NoRoomSnafu.fail();
        }
        self.content.reserve_exact(bytes - self.content.len());
        Ok(())
    }

    /// Adds a part of the body. If the buffer has to grow, `has_room` is asked for its new size.
    ///
    /// # Errors
    /// `TooLarge` or `NoRoom`.
    pub fn push(
        &mut self,
        part: &[u8],
        has_room: impl FnOnce(usize) -> bool,
    ) -> Result<(), BodyError> {
        let length = self.content.len() + part.len();
        if length > self.content.capacity() {
            let growth = self.content.len().min(MAX_GROWTH);
            let wanted = (self.content.len() + growth).min(self.limit);
            self.reserve(wanted.max(length), has_room)?;
        }
        self.content.extend_from_slice(part);
        Ok(())
    }

    /// Number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.content.len()
    }

    /// Whether no part was added.
    pub fn is_empty(&self) -> bool {
        self.content.is_empty()
    }

    /// Returns the body.
    pub fn into_bytes(self) -> Bytes {
        self.content.into()
    }
}
