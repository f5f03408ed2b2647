use base::GenerationId;

/// How the tokens of a stream event relate to the tokens accepted so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenVerdict {
    /// They are the next expected tokens.
    Deliver,
    /// All of them were delivered before.
    Duplicate,
    /// Tokens before them are missing, or only some of them were delivered before.
    Gap,
    /// They belong to another generation.
    OtherGeneration,
}

/// Whether the end event of a stream completes the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndVerdict {
    /// Every token was delivered.
    Complete,
    /// Tokens before the end are missing.
    Gap,
    /// The reported token count is lower than the number of delivered tokens.
    CountTooLow,
    /// The end belongs to another generation.
    OtherGeneration,
}

/// Tracks the next expected token of one generation to detect duplicates, gaps and other
/// generations.
///
/// ```
/// use calls::{StreamTracker, TokenVerdict};
/// let mut tracker = StreamTracker::new("g1".parse().unwrap(), 0);
/// assert_eq!(tracker.accept("g1", 0, 2), TokenVerdict::Deliver);
/// assert_eq!(tracker.accept("g1", 0, 2), TokenVerdict::Duplicate);
/// assert_eq!(tracker.accept("g1", 3, 1), TokenVerdict::Gap);
/// assert_eq!(tracker.accept("g2", 2, 1), TokenVerdict::OtherGeneration);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamTracker {
    generation: GenerationId,
    next_offset: u64,
}

impl StreamTracker {
    /// Creates a tracker that expects the token at `next_offset`.
    pub fn new(generation: GenerationId, next_offset: u64) -> Self {
        Self {
            generation,
            next_offset,
        }
    }

    /// Id of the tracked generation.
    pub fn generation(&self) -> &GenerationId {
        &self.generation
    }

    /// Offset of the next expected token.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Classifies `len` tokens that start at `offset`, and advances past them if they are expected.
    pub fn accept(&mut self, generation: &str, offset: u64, len: u32) -> TokenVerdict {
        if generation != self.generation.as_str() {
            return TokenVerdict::OtherGeneration;
        }
        let Some(end) = offset.checked_add(u64::from(len)) else {
            return TokenVerdict::Gap;
        };
        if end <= self.next_offset {
            return TokenVerdict::Duplicate;
        }
        if offset != self.next_offset {
            return TokenVerdict::Gap;
        }
        self.next_offset = end;
        TokenVerdict::Deliver
    }

    /// Classifies the end of a generation that is reported to have `count` tokens in all.
    pub fn check_end(&self, generation: &str, count: u64) -> EndVerdict {
        if generation != self.generation.as_str() {
            return EndVerdict::OtherGeneration;
        }
        match count.cmp(&self.next_offset) {
            std::cmp::Ordering::Equal => EndVerdict::Complete,
            std::cmp::Ordering::Greater => EndVerdict::Gap,
            std::cmp::Ordering::Less => EndVerdict::CountTooLow,
        }
    }
}
