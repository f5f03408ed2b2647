use base::{ErrorKind, RanState, RetryAdvice, TimeSpan};

/// The final answer of a call that has no result.
///
/// ```
/// use base::{ErrorKind, RanState};
/// let failure = calls::CallFailure::new(ErrorKind::Overloaded);
/// assert_eq!(failure.ran, RanState::No);
/// assert_eq!(failure.retry_after, Some(base::TimeSpan::from_secs(1)));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallFailure {
    /// Kind of the error, which decides the status.
    pub kind: ErrorKind,
    /// Whether the request ran.
    pub ran: RanState,
    /// When the caller may come back; `None` if the same request will fail again.
    pub retry_after: Option<TimeSpan>,
}

impl CallFailure {
    /// Creates a failure with the run state and retry advice of its kind.
    pub const fn new(kind: ErrorKind) -> Self {
        let answer = kind.answer();
        let retry_after = match answer.retry {
            RetryAdvice::Never => None,
            RetryAdvice::After(span) => Some(span),
        };
        Self {
            kind,
            ran: answer.ran,
            retry_after,
        }
    }

    /// Returns this failure with another run state.
    #[must_use]
    pub const fn with_ran(mut self, ran: RanState) -> Self {
        self.ran = ran;
        self
    }

    /// Returns this failure with `span` as its retry advice, if there is one.
    #[must_use]
    pub fn with_retry_after(mut self, span: Option<TimeSpan>) -> Self {
        self.retry_after = span.or(self.retry_after);
        self
    }
}
