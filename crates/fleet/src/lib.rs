//! Fleet declarations: acceptance of a key set, and distribution of revisions between nodes.

mod accept;
mod declare;
mod keys;
mod spread;

pub use accept::{DeclarationMistake, accept};
pub use declare::{
    DeclaredDomain, DeclaredModel, DeclaredNode, DeclaredRollout, DeclaredRoute, DeclaredService,
    DeclaredTarget, DeclaredWorkspace, EngineRole, FleetDeclaration, OVERLAY_KEYS, TargetKind,
};
pub use keys::{HeadEntry, HeadFile, KeySet, KeyText, TextHash, make_head};
pub use spread::{
    AcceptedRevision, FleetPeer, IncompleteRevision, MechanismSwitches, PlatformHead,
    PlatformHeadAnswer, PureAcceptance, ReadScope, RejectedRevision, RevisionAction, RevisionBasis,
    RevisionSettings, RevisionStamp, RevisionStatus, RevisionView, SetAcceptance, SetSource,
};
