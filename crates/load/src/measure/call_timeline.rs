use smol_str::SmolStr;

/// Time to first token in microseconds beyond which a caller stalls.
pub const FIRST_TOKEN_LIMIT: u64 = 810_000;
/// Gap between tokens in microseconds beyond which a caller stalls.
pub const GAP_LIMIT: u64 = 77_000;

/// How a call ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The whole answer arrived.
    Complete,
    /// The call was refused before it ran, with this kind of error.
    Refused(SmolStr),
    /// The call ended with this kind of error after it was sent to a target.
    Failed(SmolStr),
    /// The run ended before the call did.
    Unfinished,
}

/// Tokens of one call as its caller sees them; times in microseconds.
///
/// ```
/// let mut timeline = load::CallTimeline::new(0, true);
/// assert_eq!(timeline.add_token(900_000), None);
/// assert_eq!(timeline.add_token(1_000_000), Some(100_000));
/// assert_eq!(timeline.stall(), 90_000 + 23_000);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallTimeline {
    arrival: u64,
    quick: bool,
    first: Option<u64>,
    last: u64,
    tokens: u32,
    stall: u64,
}

impl CallTimeline {
    /// Creates the timeline of a call that was due at `arrival`.
    pub fn new(arrival: u64, quick: bool) -> Self {
        Self {
            arrival,
            quick,
            first: None,
            last: arrival,
            tokens: 0,
            stall: 0,
        }
    }

    /// Notes a token at `at` and returns the gap since the one before.
    pub fn add_token(&mut self, at: u64) -> Option<u64> {
        let gap = at.saturating_sub(self.last);
        self.last = at;
        self.tokens += 1;
        if self.first.is_none() {
            self.first = Some(at);
            self.stall += gap.saturating_sub(FIRST_TOKEN_LIMIT);
            return None;
        }
        self.stall += gap.saturating_sub(GAP_LIMIT);
        Some(gap)
    }

    /// Counts the wait of a call that is still open at `at` as stall time.
    pub fn close_open(&mut self, at: u64) {
        let limit = match self.first {
            None => FIRST_TOKEN_LIMIT,
            Some(_) => GAP_LIMIT,
        };
        self.stall += at.saturating_sub(self.last).saturating_sub(limit);
        self.last = self.last.max(at);
    }

    /// When the call was due.
    pub fn arrival(&self) -> u64 {
        self.arrival
    }

    /// Whether the call counts as quick.
    pub fn is_quick(&self) -> bool {
        self.quick
    }

    /// Stall time so far in microseconds.
    pub fn stall(&self) -> u64 {
        self.stall
    }

    /// Tokens so far.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Time to first token in microseconds.
    pub fn first_token(&self) -> Option<u64> {
        self.first.map(|at| at - self.arrival)
    }

    /// Time from the due arrival to the last token in microseconds.
    pub fn span(&self) -> u64 {
        self.last - self.arrival
    }
}
