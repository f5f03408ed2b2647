//! Acceptance: one pure function from a key set to a declaration or its mistakes.

mod accept_set;
mod cross_check;
mod declaration_draft;
mod declaration_mistake;
mod fleet_build;
mod origin_index;

pub use accept_set::accept;
pub use declaration_mistake::DeclarationMistake;
