//! Parser that splits INI files into sections and entries with their line numbers.

mod ini_file;
mod ini_section;

pub use ini_file::IniFile;
pub use ini_section::{IniEntry, IniSection};
