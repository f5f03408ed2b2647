use base::GenerationId;

/// What to do with the tokens of a stream event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenVerdict {
    /// They are the next ones.
    Deliver,
    /// They were delivered before.
    Duplicate,
    /// Tokens before them are missing, or they overlap delivered ones in part.
    Gap,
    /// They belong to another generation.
    Foreign,
}

/// What the end of a stream means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndVerdict {
    /// Every token was delivered.
    Complete,
    /// Tokens before the end are missing.
    Gap,
    /// The count is lower than what was delivered.
    Impossible,
    /// The end belongs to another generation.
    Foreign,
}

/// Next expected token of one generation.
///
/// ```
/// use calls::{StreamTracker, TokenVerdict};
/// let mut tracker = StreamTracker::new("g1".parse().unwrap(), 0);
/// assert_eq!(tracker.accept("g1", 0, 2), TokenVerdict::Deliver);
/// assert_eq!(tracker.accept("g1", 0, 2), TokenVerdict::Duplicate);
/// assert_eq!(tracker.accept("g1", 3, 1), TokenVerdict::Gap);
/// assert_eq!(tracker.accept("g2", 2, 1), TokenVerdict::Foreign);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamTracker {
    generation: GenerationId,
    next: u64,
}

impl StreamTracker {
    /// Creates a tracker that expects the token at offset `next`.
    pub fn new(generation: GenerationId, next: u64) -> Self {
        Self { generation, next }
    }

    /// The generation.
    pub fn generation(&self) -> &GenerationId {
        &self.generation
    }

    /// Offset of the next expected token.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Judges `len` tokens from `offset` on and takes them if they are the next ones.
    pub fn accept(&mut self, generation: &str, offset: u64, len: u32) -> TokenVerdict {
        if generation != self.generation.as_str() {
            return TokenVerdict::Foreign;
        }
        let Some(end) = offset.checked_add(u64::from(len)) else {
            return TokenVerdict::Gap;
        };
        if end <= self.next {
            return TokenVerdict::Duplicate;
        }
        if offset != self.next {
            return TokenVerdict::Gap;
        }
        self.next = end;
        TokenVerdict::Deliver
    }

    /// Judges the end of a stream of `count` tokens.
    pub fn end(&self, generation: &str, count: u64) -> EndVerdict {
        if generation != self.generation.as_str() {
            return EndVerdict::Foreign;
        }
        match count.cmp(&self.next) {
            std::cmp::Ordering::Equal => EndVerdict::Complete,
            std::cmp::Ordering::Greater => EndVerdict::Gap,
            std::cmp::Ordering::Less => EndVerdict::Impossible,
        }
    }
}
