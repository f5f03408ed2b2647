use std::sync::LazyLock;

use serde::de::DeserializeOwned;
use serde_json::Value;
use smol_str::SmolStr;

use super::file_check::FileCheck;
use super::schema_view::SchemaView;
use super::setting_mistake::SettingMistake;
use crate::{declaration, settings};

static SETTINGS: LazyLock<Value> =
    LazyLock::new(|| parse_schema(include_str!("../../schema/settings.json")));
static DECLARATION: LazyLock<Value> =
    LazyLock::new(|| parse_schema(include_str!("../../schema/declaration.json")));

fn parse_schema(text: &str) -> Value {
    serde_json::from_str(text).expect("an embedded schema is valid JSON")
}

/// Reads the settings of a node and reports every mistake at once.
///
/// # Errors
///
/// Returns each mistake with its file, line and key, in the order of the lines.
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
) -> Result<settings::NodeSettings, Vec<SettingMistake>> {
    read_file(&SETTINGS, file_name, text)
}

/// Reads one key of a declaration and reports every mistake at once.
///
/// # Errors
///
/// Returns each mistake with its file, line and key, in the order of the lines.
///
/// ```
/// let file = schema::read_declaration("fleet.ini", "[domain patan]\n").unwrap();
/// assert_eq!(file.domain["patan"].region, "default");
/// ```
pub fn read_declaration(
    file_name: &str,
    text: &str,
) -> Result<declaration::DeclarationFile, Vec<SettingMistake>> {
    read_file(&DECLARATION, file_name, text)
}

fn read_file<T: DeserializeOwned>(
    schema: &Value,
    file_name: &str,
    text: &str,
) -> Result<T, Vec<SettingMistake>> {
    let value = FileCheck::new(file_name, SchemaView::new(schema)).run(text)?;
    serde_json::from_value(value).map_err(|error| {
        vec![SettingMistake {
            file: SmolStr::new(file_name),
            line: 1,
            key: SmolStr::new("file"),
            found: SmolStr::new(error.to_string()),
            allowed: SmolStr::new("values that fit the schema"),
            nearest: None,
        }]
    })
}
