//! JSON Schemas of settings, declarations and peer messages, the types generated from them, and the
//! validation of INI files against them.

mod check;
mod generated;
mod ini;

pub use check::{SettingError, nearest_name, read_declaration, read_settings};
pub use generated::{declaration, fleet, member, settings};
pub use ini::{IniEntry, IniFile, IniSection};
