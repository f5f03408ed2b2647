//! Settings, declarations and peer messages: JSON Schemas, their generated types and INI checks.

mod generated;

pub use generated::{declaration, member, settings};
