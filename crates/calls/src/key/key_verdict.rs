use std::sync::Arc;

use base::{ErrorKind, NodeName, RanState};

use crate::{CallFailure, ProcessId, RetainedAnswer};

/// Which witness consent a home has for a request with a caller-generated key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConsentStatus {
    /// No witness was asked yet.
    NotAsked,
    /// A witness consented to this process, that is, to this run of the node.
    Granted {
        /// The witness.
        by: NodeName,
    },
    /// A witness answered that another process may have run the key.
    Contested,
}

/// What to do with a request that carries a caller-generated key, as its home decides.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyVerdict {
    /// Run it, then report the outcome with `KeyRegistry::finish`.
    Run,
    /// Get the consent of one of these witnesses, then claim the key again.
    NeedConsent(Vec<NodeName>),
    /// Ask these nodes whether the key may have run; the verdict on their answers decides.
    Inquire(Vec<NodeName>),
    /// The first send of the request is running or waits for an inquiry; wait for its answer.
    Join,
    /// Send the retained answer of the first run.
    Replay(Arc<RetainedAnswer>),
    /// The first run ended and its answer is not retained.
    Finished(RanState),
    /// The key was used with another request.
    KeyReused,
    /// This node is not the home of the key; forward the request to this node.
    NotHome(NodeName),
    /// The key was handed over to this process; it never runs here.
    HandedOver(ProcessId),
    /// The home is stopping and runs no new key.
    Sealed(RanState),
    /// The home can't remember more keys. It forgets none early, as that could let a key run twice.
    Full(RanState),
}

impl KeyVerdict {
    /// The failure to answer with; `None` if the verdict is not a refusal.
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
