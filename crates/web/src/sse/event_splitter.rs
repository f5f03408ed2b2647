use bytes::{Bytes, BytesMut};
use memchr::memmem;

/// Splits chunks of a response body into whole event blocks.
///
/// A block that lies within one chunk is not copied.
///
/// ```
/// let mut splitter = web::EventSplitter::new(1024);
/// splitter.push("data: a\n\ndata:".into());
/// assert_eq!(splitter.next_block().unwrap(), "data: a\n\n");
/// assert!(splitter.next_block().is_none());
/// splitter.push(" b\n\n".into());
/// assert_eq!(splitter.next_block().unwrap(), "data: b\n\n");
/// ```
#[derive(Debug)]
pub struct EventSplitter {
    limit: usize,
    partial: BytesMut,
    chunk: Bytes,
}

impl EventSplitter {
    /// Creates a splitter for blocks of at most `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            partial: BytesMut::new(),
            chunk: Bytes::new(),
        }
    }

    /// Adds a chunk; to be called when `next_block` has returned `None`.
    pub fn push(&mut self, chunk: Bytes) {
        if self.chunk.is_empty() {
            self.chunk = chunk;
            return;
        }
        let mut joined = BytesMut::from(&self.chunk[..]);
        joined.extend_from_slice(&chunk);
        self.chunk = joined.freeze();
    }

    /// Returns the next whole block with its closing empty line.
    pub fn next_block(&mut self) -> Option<Bytes> {
        if self.partial.is_empty() {
            let Some(end) = find_end(&self.chunk) else {
                self.keep_partial();
                return None;
            };
            return Some(self.chunk.split_to(end));
        }
        self.complete_partial()
    }

    /// Tells whether a block without end has grown over the limit.
    pub fn is_overfull(&self) -> bool {
        self.partial.len() > self.limit
    }

    /// Tells whether bytes of an incomplete block are held.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty() || !self.chunk.is_empty()
    }

    fn keep_partial(&mut self) {
        self.partial.extend_from_slice(&self.chunk);
        self.chunk = Bytes::new();
    }

    /// The end of the partial block may lie across the border of two chunks.
    fn complete_partial(&mut self) -> Option<Bytes> {
        let old = self.partial.len();
        self.keep_partial();
        let from = old.saturating_sub(3);
        let end = from + find_end(&self.partial[from..])?;
        let block = self.partial.split_to(end).freeze();
        self.chunk = std::mem::take(&mut self.partial).freeze();
        Some(block)
    }
}

/// Returns the length of the first block, whose lines end in LF or CR LF.
fn find_end(bytes: &[u8]) -> Option<usize> {
    let plain = memmem::find(bytes, b"\n\n").map(|at| at + 2);
    if memchr::memchr(b'\r', &bytes[..plain.unwrap_or(bytes.len())]).is_none() {
        return plain;
    }
    let carriage = memmem::find(bytes, b"\r\n\r\n").map(|at| at + 4);
    match (plain, carriage) {
        (Some(plain), Some(carriage)) => Some(plain.min(carriage)),
        (plain, carriage) => plain.or(carriage),
    }
}
