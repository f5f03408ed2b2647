use std::sync::Arc;

use base::NodeName;
use schema::fleet::{PullRequest, RevisionDigest};
use smol_str::SmolStr;

use super::{RevisionBasis, RevisionStamp};
use crate::{DeclarationMistake, FleetDeclaration};

/// Where a key set came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SetSource {
    /// The platform's configuration service.
    Platform,
    /// Another node.
    Peer(NodeName),
}

/// Which keys a platform read asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadScope {
    /// These keys after the prefix, one call each.
    Keys(Vec<SmolStr>),
    /// All keys under the prefix in one recursive call.
    All,
}

/// What the I/O shell is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum RevisionAction {
    /// Send the digest to a peer at once.
    Announce {
        /// Receiver.
        to: NodeName,
        /// The digest.
        digest: RevisionDigest,
    },
    /// Send a pull to a peer and report its answer with the same number.
    Pull {
        /// Receiver.
        to: NodeName,
        /// Number of the pull.
        pull: u64,
        /// The request.
        request: PullRequest,
    },
    /// Read the `head` key and report the answer with the same number.
    ReadHead {
        /// Number of the call.
        call: u64,
        /// Waits for a change after this index; 0 answers at once.
        index: u64,
    },
    /// Read other keys and report them with the same number.
    ReadKeys {
        /// Number of the call.
        call: u64,
        /// The keys.
        scope: ReadScope,
    },
    /// Give up a platform call; its answer will be ignored.
    StopCall {
        /// Number of the call.
        call: u64,
    },
    /// A revision is accepted; it is in effect once the node is ready, or at once if it is.
    Accepted {
        /// The revision.
        stamp: RevisionStamp,
        /// The declaration.
        declaration: Arc<FleetDeclaration>,
        /// Where it came from.
        source: SetSource,
    },
    /// A revision is invalid; the accepted one stays in effect.
    Rejected {
        /// The revision.
        stamp: RevisionStamp,
        /// Every mistake.
        mistakes: Arc<[DeclarationMistake]>,
        /// Where it came from.
        source: SetSource,
    },
    /// A source offered an older revision than the accepted one.
    Ignored {
        /// The older revision.
        stamp: RevisionStamp,
        /// Who offered it.
        source: SetSource,
    },
    /// The platform stopped answering.
    PlatformLost,
    /// The platform answers again.
    PlatformFound,
    /// The node may serve with the accepted revision. Sent after the start and after each pause;
    /// between a pause and this action the node starts nothing new.
    Ready {
        /// What the revision rests on.
        basis: RevisionBasis,
    },
}
