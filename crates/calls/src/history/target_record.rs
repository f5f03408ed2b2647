use base::{ClockTime, GenerationId, RequestId, TargetName};
use serde::{Deserialize, Serialize};

use crate::SendNumber;

/// What a stand-in target did.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetRecord {
    /// The target started to run a request.
    Run {
        /// The target.
        target: TargetName,
        /// When the run started.
        at: ClockTime,
        /// Id of the request, taken from its body.
        request: RequestId,
        /// The send of the request.
        send: SendNumber,
        /// The generation.
        generation: GenerationId,
    },
    /// The target produced a token.
    Token {
        /// The generation.
        generation: GenerationId,
        /// Offset of the token.
        offset: u64,
    },
    /// The target completed a generation.
    Finished {
        /// The generation.
        generation: GenerationId,
        /// Number of its tokens.
        count: u64,
    },
    /// The target started to leave, and must get no new work soon after.
    Leaving {
        /// The target.
        target: TargetName,
        /// When the target started to leave.
        at: ClockTime,
    },
    /// The target returned under the same name.
    Returned {
        /// The target.
        target: TargetName,
        /// When the target returned.
        at: ClockTime,
    },
}
