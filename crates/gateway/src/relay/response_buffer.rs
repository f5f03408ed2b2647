use base::ByteCount;
use bytes::Bytes;

use crate::{BodyBudget, BodyLease};

/// Bytes by which a buffer grows at most, beyond what it needs.
const MAX_GROWTH: usize = 256 << 10;

/// Buffer for the body of a response, whose memory counts in the budget of bodies until the response
/// was delivered.
///
/// The parts of a body are copied, since each part would keep the buffer alive into which it was read:
/// a body that arrives in parts of a few bytes would take many times its size.
#[derive(Debug)]
pub struct ResponseBuffer {
    content: Vec<u8>,
    lease: BodyLease,
    limit: usize,
}

impl ResponseBuffer {
    /// Creates an empty buffer for a body of up to `limit` bytes.
    pub fn new(budget: &BodyBudget, limit: usize) -> Self {
        Self {
            content: Vec::new(),
            lease: budget.new_lease(),
            limit,
        }
    }

    /// Adds a part of the body.
    ///
    /// # Errors
    /// If the body is too large, or there is no memory for it.
    pub fn push(&mut self, part: &[u8]) -> Result<(), String> {
        let length = self.content.len() + part.len();
        if length > self.limit {
            return Err(format!("response body is larger than {} bytes", self.limit));
        }
        if length > self.content.capacity() {
            let growth = self.content.len().min(MAX_GROWTH).max(part.len());
            let capacity = (self.content.len() + growth).min(self.limit);
            if !self.lease.try_grow_to(ByteCount(capacity as u64)) {
                return Err("no memory for the response body".to_owned());
            }
            self.content.reserve_exact(capacity - self.content.len());
        }
        self.content.extend_from_slice(part);
        Ok(())
    }

    /// Returns the body; its memory is returned to the budget when the last copy of it is dropped.
    pub fn into_bytes(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for ResponseBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}
