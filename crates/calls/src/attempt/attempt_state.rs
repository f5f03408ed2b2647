use strum::Display;

/// Progress of the current attempt of a call; later states compare greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
#[strum(serialize_all = "snake_case")]
pub enum AttemptState {
    /// Waiting for a target to be chosen or for a backoff delay to end.
    Planned,
    /// A target is chosen; no byte of the request has been handed to a socket.
    Connecting,
    /// Part of the request may have reached the target.
    Sent,
    /// The target reported the id of the generation that answers the call.
    Accepted,
    /// At least one token of the generation was accepted.
    Streaming,
    /// The call has its final outcome.
    Done,
}
