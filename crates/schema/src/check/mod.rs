//! Validates INI files against the JSON Schemas and deserializes them into the generated types.

mod file_checker;
mod nearest;
mod read;
mod schema_view;
mod setting_error;
mod value_check;

pub use nearest::nearest_name;
pub use read::{read_declaration, read_settings};
pub use setting_error::SettingError;
