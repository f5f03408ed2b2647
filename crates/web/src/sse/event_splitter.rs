use bytes::{Bytes, BytesMut};
use memchr::memmem;

/// Splits the chunks of a response body into whole event blocks.
///
/// An event block is the lines of one event with the empty line that ends it. A block that lies
/// within one chunk is not copied.
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
    /// Creates a splitter; an incomplete block of more than `limit` bytes is reported by
    /// `exceeds_limit`.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            partial: BytesMut::new(),
            chunk: Bytes::new(),
        }
    }

    /// Adds a chunk. To be called after `next_block` has returned `None`, as both chunks are copied
    /// otherwise.
    pub fn push(&mut self, chunk: Bytes) {
        if self.chunk.is_empty() {
            self.chunk = chunk;
            return;
        }
        let mut joined = BytesMut::from(&self.chunk[..]);
        joined.extend_from_slice(&chunk);
        self.chunk = joined.freeze();
    }

    /// Returns the next whole block with the empty line that ends it, or `None` if more bytes are
    /// needed.
    pub fn next_block(&mut self) -> Option<Bytes> {
        if self.partial.is_empty() {
            let Some(end) = find_end(&self.chunk) else {
                self.append_chunk();
                return None;
            };
            return Some(self.chunk.split_to(end));
        }
        self.complete_partial()
    }

    /// Whether the incomplete block that is held is larger than the limit.
    pub fn exceeds_limit(&self) -> bool {
        self.partial.len() > self.limit
    }

    /// Whether bytes that have not been returned as a block are held.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty() || !self.chunk.is_empty()
    }

    /// Moves the rest of the chunk to the end of the partial block.
    fn append_chunk(&mut self) {
        self.partial.extend_from_slice(&self.chunk);
        self.chunk = Bytes::new();
    }

    /// Returns the partial block if the current chunk completes it.
    ///
    /// The search starts 3 bytes before the chunk, since the longest block end, CR LF CR LF, may be
    /// divided between two chunks.
    fn complete_partial(&mut self) -> Option<Bytes> {
        let old_length = self.partial.len();
        self.append_chunk();
        let from = old_length.saturating_sub(3);
        let end = from + find_end(&self.partial[from..])?;
        let block = self.partial.split_to(end).freeze();
        self.chunk = std::mem::take(&mut self.partial).freeze();
        Some(block)
    }
}

/// Returns the length of the first block, which ends with LF LF or CR LF CR LF.
fn find_end(bytes: &[u8]) -> Option<usize> {
    let lf_end = memmem::find(bytes, b"\n\n").map(|at| at + 2);
    if memchr::memchr(b'\r', &bytes[..lf_end.unwrap_or(bytes.len())]).is_none() {
        return lf_end;
    }
    let crlf_end = memmem::find(bytes, b"\r\n\r\n").map(|at| at + 4);
    match (lf_end, crlf_end) {
        (Some(lf_end), Some(crlf_end)) => Some(lf_end.min(crlf_end)),
        (lf_end, crlf_end) => lf_end.or(crlf_end),
    }
}
