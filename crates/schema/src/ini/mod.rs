//! INI files as sections and entries that keep their line numbers.

mod ini_file;
mod ini_section;

pub use ini_file::IniFile;
pub use ini_section::{IniEntry, IniSection};
