use std::net::SocketAddr;

use base::{
    AdapterName, DomainName, LabelSelector, LabelSet, ModelName, NodeName, ParseError, ServiceName,
    TargetName, VersionName, WorkspaceName,
};
use serde_json::Value;

use super::nearest::nearest_name;
use super::schema_view::{SchemaView, definition_name};
use super::setting_error::quote_value;

/// Hexadecimal digits of a SHA-256.
const SHA256_DIGITS: usize = 64;

/// Why a value is invalid; the fields are those of a `SettingError`.
pub struct ValueError {
    pub found: String,
    pub allowed: String,
    pub nearest: Option<String>,
}

impl ValueError {
    fn new(value: &str, allowed: impl Into<String>) -> Self {
        Self {
            found: quote_value(value),
            allowed: allowed.into(),
            nearest: None,
        }
    }
}

/// Validates the text of one value against its schema and converts it to JSON.
pub fn check_value(view: SchemaView, rule: &Value, text: &str) -> Result<Value, ValueError> {
    if let Some(name) = definition_name(rule) {
        check_definition(name, text)?;
    }
    let schema = view.resolve(rule);
    if let Some(words) = schema.get("enum").and_then(Value::as_array) {
        return check_enum(words, text);
    }
    match schema["type"].as_str() {
        Some("integer") => check_integer(schema, text),
        Some("boolean") => check_boolean(text),
        _ => check_text(schema, text),
    }
}

/// Validates a value of a hand-written type with the parser of that type.
fn check_definition(name: &str, text: &str) -> Result<(), ValueError> {
    let result = match name {
        "AdapterName" => parse_as::<AdapterName>(text),
        "DomainName" => parse_as::<DomainName>(text),
        "LabelSelector" => parse_as::<LabelSelector>(text),
        "LabelSet" => parse_as::<LabelSet>(text),
        "ModelName" => parse_as::<ModelName>(text),
        "NodeName" => parse_as::<NodeName>(text),
        "ServiceName" => parse_as::<ServiceName>(text),
        "TargetName" => parse_as::<TargetName>(text),
        "VersionName" => parse_as::<VersionName>(text),
        "WorkspaceName" => parse_as::<WorkspaceName>(text),
        _ => Ok(()),
    };
    result.map_err(|error| ValueError::new(text, format!("a {}: {}", error.what, error.allowed)))
}

fn parse_as<T: std::str::FromStr<Err = ParseError>>(text: &str) -> Result<(), ParseError> {
    text.parse::<T>().map(drop)
}

/// Validates the name of a section; the names of all kinds of sections follow the same rule.
pub fn check_section_name(text: &str) -> Result<(), ValueError> {
    parse_as::<TargetName>(text).map_err(|error| ValueError::new(text, error.allowed))
}

fn check_enum(words: &[Value], text: &str) -> Result<Value, ValueError> {
    let words: Vec<&str> = words.iter().filter_map(Value::as_str).collect();
    if words.contains(&text) {
        return Ok(Value::from(text));
    }
    let mut error = ValueError::new(text, words.join(", "));
    error.nearest = nearest_name(text, words).map(str::to_owned);
    Err(error)
}

fn check_integer(schema: &Value, text: &str) -> Result<Value, ValueError> {
    let min = schema["minimum"].as_i64().unwrap_or(i64::MIN);
    let max = schema["maximum"].as_i64().unwrap_or(i64::MAX);
    match text.parse::<i64>() {
        Ok(number) if (min..=max).contains(&number) => Ok(Value::from(number)),
        _ => Err(ValueError::new(text, range_description(schema))),
    }
}

fn range_description(schema: &Value) -> String {
    match (schema["minimum"].as_i64(), schema["maximum"].as_i64()) {
        (Some(min), Some(max)) => format!("an integer from {min} to {max}"),
        (Some(min), None) => format!("an integer of at least {min}"),
        (None, Some(max)) => format!("an integer of at most {max}"),
        (None, None) => "an integer".to_owned(),
    }
}

fn check_boolean(text: &str) -> Result<Value, ValueError> {
    match text {
        "true" => Ok(Value::Bool(true)),
        "false" => Ok(Value::Bool(false)),
        _ => Err(ValueError::new(text, "true or false")),
    }
}

fn check_text(schema: &Value, text: &str) -> Result<Value, ValueError> {
    let length = text.chars().count() as u64;
    let min = schema["minLength"].as_u64().unwrap_or(0);
    let max = schema["maxLength"].as_u64().unwrap_or(u64::MAX);
    if !(min..=max).contains(&length) {
        // The message omits the text, since it may be a secret.
        return Err(ValueError {
            found: format!("{length} characters"),
            allowed: length_description(schema),
            nearest: None,
        });
    }
    match schema["format"].as_str() {
        Some("socket-address") if text.parse::<SocketAddr>().is_err() => Err(ValueError::new(
            text,
            "an IP address with a port, such as 192.0.2.1:8080",
        )),
        Some("sha256-hex") if !is_sha256(text) => Err(ValueError::new(
            text,
            format!("{SHA256_DIGITS} hexadecimal digits"),
        )),
        _ => Ok(Value::from(text)),
    }
}

fn length_description(schema: &Value) -> String {
    match (schema["minLength"].as_u64(), schema["maxLength"].as_u64()) {
        (Some(min), Some(max)) => format!("{min} to {max} characters"),
        (Some(min), None) => format!("at least {min} characters"),
        (_, max) => format!("at most {} characters", max.unwrap_or_default()),
    }
}

fn is_sha256(text: &str) -> bool {
    text.len() == SHA256_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}
