use std::sync::Arc;

use base::{NodeName, TimeSpan};
use schema::fleet::{PullRequest, RevisionDigest};
use smol_str::SmolStr;

use super::{RevisionBasis, RevisionStamp};
use crate::{DeclarationMistake, FleetDeclaration};

/// Where a key set came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SetSource {
    /// The configuration service of the platform.
    Platform,
    /// Another node.
    Peer(NodeName),
}

/// Which keys a platform read asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadScope {
    /// These keys, named without the prefix, by one call each.
    Keys(Vec<SmolStr>),
    /// All keys under the prefix, by one recursive call.
    All,
}

/// What the caller of [`RevisionSync`](super::RevisionSync) is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum RevisionAction {
    /// Send this node's digest to a peer at once.
    SendDigest {
        /// Receiver.
        to: NodeName,
        /// The digest.
        digest: RevisionDigest,
    },
    /// Send a pull to a peer and pass its answer to `on_pull_answer` with the same number.
    Pull {
        /// Receiver.
        to: NodeName,
        /// Number of the pull.
        pull: u64,
        /// The request.
        request: PullRequest,
    },
    /// Read the `head` key and pass the answer to `on_head_answer` with the same number.
    ReadHead {
        /// Number of the call.
        call: u64,
        /// Index after which the platform is to wait for a change; with 0 it answers at once.
        index: u64,
        /// Time for which the platform is to wait. The call counts as failed some time after it.
        wait: TimeSpan,
    },
    /// Read other keys and pass them to `on_keys_answer` with the same number.
    ReadKeys {
        /// Number of the call.
        call: u64,
        /// The keys to read.
        scope: ReadScope,
    },
    /// Cancel a platform call; its answer would be ignored.
    CancelCall {
        /// Number of the call.
        call: u64,
    },
    /// A revision was accepted. It takes effect at once if the node is ready, otherwise as soon as
    /// it is.
    Accepted {
        /// The revision.
        stamp: RevisionStamp,
        /// The declaration.
        declaration: Arc<FleetDeclaration>,
        /// Where it came from.
        source: SetSource,
    },
    /// A revision was rejected as invalid; the accepted one stays in effect.
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
        /// The source that offered it.
        source: SetSource,
    },
    /// The platform stopped answering.
    PlatformLost,
    /// The platform answers again.
    PlatformFound,
    /// The node may serve with the accepted revision. Issued after the start and after each pause;
    /// between a pause and this action the node starts no new work.
    Ready {
        /// Which sources confirm the revision.
        basis: RevisionBasis,
    },
}
