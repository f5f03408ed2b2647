use base::{ClockTime, GenerationId, RanState, RequestId};
use serde::{Deserialize, Serialize};

/// Numbers the sends of one request by its caller, in order.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct SendNumber(pub u32);

/// What a caller did or was told. A request keeps its id when its caller sends it again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerRecord {
    /// The caller sent the request.
    Sent {
        /// The request.
        request: RequestId,
        /// Which send.
        send: SendNumber,
        /// When.
        at: ClockTime,
        /// More than one run does no harm.
        idempotent: bool,
        /// All sends of the request carry the same ticket or key.
        keyed: bool,
    },
    /// The caller got one token.
    Token {
        /// The request.
        request: RequestId,
        /// Which send.
        send: SendNumber,
        /// Generation in the event's id.
        generation: GenerationId,
        /// Offset in the event's id.
        offset: u64,
    },
    /// The caller got the explicit end.
    Ended {
        /// The request.
        request: RequestId,
        /// Which send.
        send: SendNumber,
        /// Tokens according to the end.
        count: u64,
    },
    /// The caller got an error with a run state.
    Told {
        /// The request.
        request: RequestId,
        /// Which send.
        send: SendNumber,
        /// When.
        at: ClockTime,
        /// The run state.
        ran: RanState,
    },
}
