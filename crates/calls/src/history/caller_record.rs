use base::{ClockTime, GenerationId, RanState, RequestId};
use serde::{Deserialize, Serialize};

/// Number of one send of a request; a caller that sends the request again takes the next number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct SendNumber(pub u32);

/// What a caller sent or received. A request keeps its id when its caller sends it again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerRecord {
    /// The caller sent the request.
    Sent {
        /// The request.
        request: RequestId,
        /// The send.
        send: SendNumber,
        /// When the request was sent.
        at: ClockTime,
        /// Whether the request may run more than once.
        idempotent: bool,
        /// Whether all sends of the request carry the same ticket or idempotency key.
        keyed: bool,
    },
    /// The caller received one token.
    Token {
        /// The request.
        request: RequestId,
        /// The send.
        send: SendNumber,
        /// Generation named in the event's id.
        generation: GenerationId,
        /// Token offset in the event's id.
        offset: u64,
    },
    /// The caller received the explicit end of the answer.
    Ended {
        /// The request.
        request: RequestId,
        /// The send.
        send: SendNumber,
        /// Number of tokens that the end states.
        count: u64,
    },
    /// The caller received an error that states whether the request ran.
    #[serde(rename = "Told")]
    Failed {
        /// The request.
        request: RequestId,
        /// The send.
        send: SendNumber,
        /// When the error arrived.
        at: ClockTime,
        /// Run state in the error.
        ran: RanState,
    },
}
