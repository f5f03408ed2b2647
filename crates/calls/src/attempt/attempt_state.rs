use strum::Display;

/// Progress of the current attempt of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
#[strum(serialize_all = "snake_case")]
pub enum AttemptState {
    /// Waits for a target or for the end of a backoff.
    Planned,
    /// Has a target; no byte of the request was handed to a socket.
    Connecting,
    /// A byte of the request may have reached the target.
    Sent,
    /// The target named the generation that answers the call.
    Accepted,
    /// At least one token was taken from the generation.
    Streaming,
    /// The call has its final outcome.
    Done,
}
