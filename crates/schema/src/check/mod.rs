//! Checks INI files against the JSON Schemas and turns them into the generated types.

mod file_check;
mod nearest;
mod read;
mod schema_view;
mod setting_mistake;
mod value_check;

pub use nearest::nearest_name;
pub use read::{read_declaration, read_settings};
pub use setting_mistake::SettingMistake;
