//! Settings, declarations and peer messages: JSON Schemas, their generated types and INI checks.

mod check;
mod generated;
mod ini;

pub use check::{SettingMistake, nearest_name, read_declaration, read_settings};
pub use generated::{declaration, fleet, member, settings};
pub use ini::{IniEntry, IniFile, IniSection};
