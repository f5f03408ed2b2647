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
        /// When.
        at: ClockTime,
        /// The request as its body names it.
        request: RequestId,
        /// Which send of it.
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
    /// The generation is complete.
    Finished {
        /// The generation.
        generation: GenerationId,
        /// Its tokens.
        count: u64,
    },
    /// The target started to leave.
    Leaving {
        /// The target.
        target: TargetName,
        /// When.
        at: ClockTime,
    },
    /// The target is back under the same name.
    Returned {
        /// The target.
        target: TargetName,
        /// When.
        at: ClockTime,
    },
}
