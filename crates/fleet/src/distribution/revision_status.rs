use std::sync::Arc;

use base::{NodeName, TimeSpan};
use smol_str::SmolStr;
use strum::{Display, IntoStaticStr};

use super::{RevisionStamp, SetSource};
use crate::DeclarationMistake;

/// Which sources currently confirm the accepted revision as the newest one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RevisionBasis {
    /// None yet: the node has started or resumed and still compares its revision.
    Checking,
    /// Peers and platform.
    Confirmed,
    /// Only peers; the platform has not confirmed it recently.
    PeersAlone,
    /// Only the platform; no peer has sent a digest recently.
    PlatformAlone,
    /// Neither; the node keeps serving with the revision that it has.
    Isolated,
}

/// A revision that was rejected as invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedRevision {
    /// The revision.
    pub stamp: RevisionStamp,
    /// Every mistake.
    pub mistakes: Arc<[DeclarationMistake]>,
}

/// A revision of which some keys have not arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IncompleteRevision {
    /// The revision.
    pub stamp: RevisionStamp,
    /// Where its keys are read from.
    pub source: SetSource,
    /// Keys that are missing or have another hash than the head lists; empty until the head
    /// arrives.
    pub missing: Vec<SmolStr>,
}

/// State of the distribution at this node, for status pages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RevisionStatus {
    /// The revision in effect.
    pub accepted: Option<RevisionStamp>,
    /// Warnings of the revision in effect.
    pub warnings: Vec<SmolStr>,
    /// Which sources confirm the revision in effect.
    pub basis: RevisionBasis,
    /// Whether the node may serve.
    pub is_ready: bool,
    /// Whether this node is a reader, which watches the platform.
    pub is_reader: bool,
    /// Whether the last platform call of this node failed.
    pub platform_lost: bool,
    /// Revision that the platform returned last, if it is older than the one in effect.
    pub platform_stale: Option<RevisionStamp>,
    /// Time since the platform last confirmed the revision in effect, to this node or to a peer.
    pub confirmed_age: Option<TimeSpan>,
    /// The newest rejected revision, if it is newer than the one in effect.
    pub rejected: Option<RejectedRevision>,
    /// Newest revision that a peer rejected, if it is newer than the one in effect, and that peer.
    pub rejected_by_peer: Option<(NodeName, RevisionStamp)>,
    /// Revisions that are being collected.
    pub incomplete: Vec<IncompleteRevision>,
    /// Platform calls made so far.
    pub platform_calls: u64,
}
