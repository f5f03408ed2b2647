use base::{ErrorKind, RanState, RetryAdvice, TimeSpan};

/// The error that a caller gets as the final answer of a failed call.
///
/// ```
/// use base::{ErrorKind, RanState};
/// let failure = calls::CallFailure::new(ErrorKind::Overloaded);
/// assert_eq!(failure.ran, RanState::No);
/// assert_eq!(failure.retry_after, Some(base::TimeSpan::from_secs(1)));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallFailure {
    /// Kind of the error, which determines the HTTP status.
    pub kind: ErrorKind,
    /// Whether the request ran, as far as is known.
    pub ran: RanState,
    /// Delay before the caller may retry; `None` if the same request would fail again.
    pub retry_after: Option<TimeSpan>,
}

impl CallFailure {
    /// Creates a failure with the default run state and retry advice of `kind`.
    pub const fn new(kind: ErrorKind) -> Self {
        let answer = kind.response();
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

    /// Returns this failure with the given run state.
    #[must_use]
    pub const fn with_ran(mut self, ran: RanState) -> Self {
        self.ran = ran;
        self
    }

    /// Returns this failure with `span` as its retry delay; `None` leaves the delay as it is.
    #[must_use]
    pub fn with_retry_after(mut self, span: Option<TimeSpan>) -> Self {
        self.retry_after = span.or(self.retry_after);
        self
    }
}
