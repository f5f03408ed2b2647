//! Fleet declarations: validation of the keys that hold a declaration, and distribution of its
//! revisions to all nodes.
//!
//! Operators publish a declaration as a set of keys in the platform's configuration service. The
//! `head` key lists the other keys by hash, and each change of it makes a new revision.

mod declare;
mod distribution;
mod keys;
mod validate;

pub use declare::{
    DeclaredDomain, DeclaredModel, DeclaredNode, DeclaredRollout, DeclaredRoute, DeclaredService,
    DeclaredTarget, DeclaredWorkspace, EngineRole, FleetDeclaration, STATE_LABEL_KEYS, TargetKind,
};
pub use distribution::{
    AcceptedRevision, FleetPeer, IncompleteRevision, MechanismSwitches, PlatformHead,
    PlatformHeadAnswer, ReadScope, RejectedRevision, RevisionAction, RevisionBasis,
    RevisionSettings, RevisionStamp, RevisionStatus, RevisionSync, SetSource, SetValidator,
    StatelessValidator,
};
pub use keys::{HeadEntry, HeadManifest, KeySet, KeyText, TextHash, make_head};
pub use validate::{DeclarationMistake, validate_set};
