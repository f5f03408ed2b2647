use std::sync::Arc;

use base::{NodeName, TimeSpan};
use smol_str::SmolStr;
use strum::{Display, IntoStaticStr};

use super::{RevisionStamp, SetSource};
use crate::DeclarationMistake;

/// What the accepted revision rests on at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RevisionBasis {
    /// The node started or was resumed and still compares its revision.
    Checking,
    /// Peers and platform agree that there is no newer one.
    Confirmed,
    /// Only peers are in reach.
    PeersAlone,
    /// Only the platform is in reach.
    PlatformAlone,
    /// Neither is in reach; the node goes on with the revision that it has.
    Isolated,
}

/// A revision that was judged invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedRevision {
    /// The revision.
    pub stamp: RevisionStamp,
    /// Every mistake.
    pub mistakes: Arc<[DeclarationMistake]>,
}

/// A revision whose keys are not all there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IncompleteRevision {
    /// The revision.
    pub stamp: RevisionStamp,
    /// Where its keys come from.
    pub source: SetSource,
    /// Keys that are missing or have another hash than the head lists; empty before the head.
    pub missing: Vec<SmolStr>,
}

/// What status pages show about revisions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RevisionStatus {
    /// The revision in effect.
    pub accepted: Option<RevisionStamp>,
    /// Warnings of the revision in effect.
    pub warnings: Vec<SmolStr>,
    /// What it rests on.
    pub basis: RevisionBasis,
    /// Whether the node may serve.
    pub is_ready: bool,
    /// Whether this node watches the platform.
    pub is_reader: bool,
    /// Whether the last platform call of this node failed.
    pub platform_lost: bool,
    /// An older revision that the platform returned last.
    pub platform_stale: Option<RevisionStamp>,
    /// Time since the platform last confirmed the revision in effect, as far as known.
    pub confirmed_age: Option<TimeSpan>,
    /// The newest rejected revision, if it is newer than the one in effect.
    pub rejected: Option<RejectedRevision>,
    /// A newer revision that a peer rejected, and the peer.
    pub rejected_by_peer: Option<(NodeName, RevisionStamp)>,
    /// Revisions that are being collected.
    pub incomplete: Vec<IncompleteRevision>,
    /// Platform calls made so far.
    pub platform_calls: u64,
}
