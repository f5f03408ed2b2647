use std::sync::LazyLock;

use serde::de::DeserializeOwned;
use serde_json::Value;
use smol_str::SmolStr;

use super::file_checker::FileChecker;
use super::schema_view::SchemaView;
use super::setting_error::SettingError;
use crate::{declaration, settings};

static SETTINGS: LazyLock<Value> =
    LazyLock::new(|| parse_schema(include_str!("../../schema/settings.json")));
static DECLARATION: LazyLock<Value> =
    LazyLock::new(|| parse_schema(include_str!("../../schema/declaration.json")));

fn parse_schema(text: &str) -> Value {
    serde_json::from_str(text).expect("an embedded schema is valid JSON")
}

/// Parses and validates the settings of a node.
///
/// # Errors
///
/// Returns all errors in the text, in line order, each with its file, line and key.
///
/// ```
/// let text = "
/// [node]
/// name = n1
/// domain = patan
/// [callers]
/// listen = 127.0.0.1:8080
/// [operators]
/// listen = 127.0.0.1:8081
/// [peers]
/// listen = 127.0.0.1:8082
/// key = sixteen-letters-and-more
/// [platform]
/// address = 127.0.0.1:8500
/// ";
/// let settings = schema::read_settings("node.ini", text).unwrap();
/// assert_eq!(settings.node.name.as_str(), "n1");
/// assert_eq!(settings.platform.wait_ms, 10_000);
/// ```
pub fn read_settings(
    file_name: &str,
    text: &str,
) -> Result<settings::NodeSettings, Vec<SettingError>> {
    read_file(&SETTINGS, file_name, text)
}

/// Parses and validates the text of one key of a declaration.
///
/// # Errors
///
/// Returns all errors in the text, in line order, each with its file, line and key.
///
/// ```
/// let file = schema::read_declaration("fleet.ini", "[domain patan]\n").unwrap();
/// assert_eq!(file.domain["patan"].region, "default");
/// ```
pub fn read_declaration(
    file_name: &str,
    text: &str,
) -> Result<declaration::DeclarationFile, Vec<SettingError>> {
    read_file(&DECLARATION, file_name, text)
}

fn read_file<T: DeserializeOwned>(
    schema: &Value,
    file_name: &str,
    text: &str,
) -> Result<T, Vec<SettingError>> {
    let value = FileChecker::new(file_name, SchemaView::new(schema)).run(text)?;
    serde_json::from_value(value).map_err(|error| {
        vec![SettingError {
            file: SmolStr::new(file_name),
            line: 1,
            key: SmolStr::new("file"),
            found: SmolStr::new(error.to_string()),
            allowed: SmolStr::new("values that fit the schema"),
            nearest: None,
        }]
    })
}
