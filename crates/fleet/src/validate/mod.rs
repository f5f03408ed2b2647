//! Validation: a pure function that turns a key set into a declaration or a list of mistakes.

mod cross_check;
mod declaration_draft;
mod declaration_mistake;
mod fleet_builder;
mod origin_index;
mod validate_set;

pub use declaration_mistake::DeclarationMistake;
pub use validate_set::validate_set;
