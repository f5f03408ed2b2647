//! Fleet declarations: acceptance of a key set, and distribution of revisions between nodes.

mod accept;
mod declare;
mod keys;

pub use accept::{DeclarationMistake, accept};
pub use declare::{
    DeclaredDomain, DeclaredModel, DeclaredNode, DeclaredRollout, DeclaredRoute, DeclaredService,
    DeclaredTarget, DeclaredWorkspace, EngineRole, FleetDeclaration, OVERLAY_KEYS, TargetKind,
};
pub use keys::{HeadEntry, HeadFile, KeySet, KeyText, TextHash, make_head};
