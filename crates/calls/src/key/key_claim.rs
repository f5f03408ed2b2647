use std::sync::Arc;

use base::{ErrorKind, NodeName, RanState};

use crate::{CallFailure, OwnerId, RetainedAnswer};

/// How a request with a caller-generated key came to its home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyArrival {
    /// No witness was asked.
    Direct,
    /// This witness granted consent to this very run of the node.
    Granted {
        /// The witness.
        by: NodeName,
    },
    /// A witness noted that another process may have run the key.
    Contested,
}

/// What becomes of a request with a caller-generated key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyClaim {
    /// Run it; `finish` must follow.
    Run,
    /// Get the consent of one of these witnesses, then claim again.
    NeedWitness(Vec<NodeName>),
    /// Ask these nodes whether the key ran; the verdict decides.
    Ask(Vec<NodeName>),
    /// The first attempt is in flight or being decided; wait for it.
    Join,
    /// Send the answer of the first attempt.
    Replay(Arc<RetainedAnswer>),
    /// The first attempt ended and its answer is not retained.
    Finished(RanState),
    /// The key was used with another request.
    KeyReused,
    /// This node is not the home; forward to this one.
    NotHome(NodeName),
    /// The key was given to this process and never runs here.
    Given(OwnerId),
    /// The home is stopping and runs no new key.
    Sealed(RanState),
    /// No more keys can be remembered; forgetting one could let it run twice.
    Full(RanState),
}

impl KeyClaim {
    /// The failure to answer with, or `None` if the claim leads on.
    pub fn failure(&self) -> Option<CallFailure> {
        match self {
            Self::Finished(ran) => Some(CallFailure::new(ErrorKind::AnswerGone).with_ran(*ran)),
            Self::KeyReused => Some(CallFailure::new(ErrorKind::KeyReused)),
            Self::Sealed(ran) => Some(CallFailure::new(ErrorKind::Stopping).with_ran(*ran)),
            Self::Full(ran) => Some(CallFailure::new(ErrorKind::Overloaded).with_ran(*ran)),
            _ => None,
        }
    }
}
