use smol_str::SmolStr;

/// Time to first token in microseconds; longer waits count as stall time.
pub const FIRST_TOKEN_LIMIT: u64 = 810_000;
/// Gap between tokens in microseconds; longer gaps count as stall time.
pub const GAP_LIMIT: u64 = 77_000;

/// How a call ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The complete answer arrived.
    Complete,
    /// The call was refused before it ran, with this kind of error.
    Refused(SmolStr),
    /// The call ended with this kind of error after it was sent to a target.
    Failed(SmolStr),
    /// The run ended before the call did.
    Unfinished,
}

/// Times of the tokens of one call at its caller, in microseconds, and its stall time: the sum
/// of all waits for a token beyond their limits.
///
/// ```
/// let mut timeline = load::CallTimeline::new(0, true);
/// assert_eq!(timeline.record_token(900_000), None);
/// assert_eq!(timeline.record_token(1_000_000), Some(100_000));
/// assert_eq!(timeline.stall_time(), 90_000 + 23_000);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallTimeline {
    arrival: u64,
    quick: bool,
    first_token_at: Option<u64>,
    last_at: u64,
    tokens: u32,
    stall: u64,
}

impl CallTimeline {
    /// Creates the timeline of a call that was due to be sent at `arrival`.
    pub fn new(arrival: u64, quick: bool) -> Self {
        Self {
            arrival,
            quick,
            first_token_at: None,
            last_at: arrival,
            tokens: 0,
            stall: 0,
        }
    }

    /// Records a token at `at` and returns the gap since the previous one, if any.
    pub fn record_token(&mut self, at: u64) -> Option<u64> {
        let gap = at.saturating_sub(self.last_at);
        self.last_at = at;
        self.tokens += 1;
        if self.first_token_at.is_none() {
            self.first_token_at = Some(at);
            self.stall += gap.saturating_sub(FIRST_TOKEN_LIMIT);
            return None;
        }
        self.stall += gap.saturating_sub(GAP_LIMIT);
        Some(gap)
    }

    /// Adds to the stall time the wait for the next token of a call that is still open at `at`,
    /// as far as it exceeds the limit.
    pub fn add_open_wait(&mut self, at: u64) {
        let limit = match self.first_token_at {
            None => FIRST_TOKEN_LIMIT,
            Some(_) => GAP_LIMIT,
        };
        self.stall += at.saturating_sub(self.last_at).saturating_sub(limit);
        self.last_at = self.last_at.max(at);
    }

    /// When the call was due to be sent.
    pub fn arrival(&self) -> u64 {
        self.arrival
    }

    /// Whether the call counts as quick.
    pub fn is_quick(&self) -> bool {
        self.quick
    }

    /// Stall time so far in microseconds.
    pub fn stall_time(&self) -> u64 {
        self.stall
    }

    /// Tokens so far.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Time to first token in microseconds.
    pub fn time_to_first_token(&self) -> Option<u64> {
        self.first_token_at.map(|at| at - self.arrival)
    }

    /// Time from the due arrival to the last token, or to the end of the wait that
    /// [`Self::add_open_wait`] added, in microseconds.
    pub fn time_to_last_token(&self) -> u64 {
        self.last_at - self.arrival
    }
}
