use std::net::SocketAddr;

use base::{
    AdapterName, DomainName, LabelSelector, LabelSet, ModelName, NodeName, ParseError, ServiceName,
    TargetName, VersionName, WorkspaceName,
};
use serde_json::Value;

use super::nearest::nearest_name;
use super::schema_view::{SchemaView, definition_name};
use super::setting_mistake::quote_value;

/// Hexadecimal digits of a SHA-256.
const SHA256_DIGITS: usize = 64;

/// Why a value was refused.
pub struct ValueMistake {
    pub found: String,
    pub allowed: String,
    pub nearest: Option<String>,
}

impl ValueMistake {
    fn new(value: &str, allowed: impl Into<String>) -> Self {
        Self {
            found: quote_value(value),
            allowed: allowed.into(),
            nearest: None,
        }
    }
}

/// Checks the text of one value against its schema and returns it as JSON.
pub fn check_value(view: SchemaView, rule: &Value, text: &str) -> Result<Value, ValueMistake> {
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

/// Parses the values of hand-written types with the parser that the types have.
fn check_definition(name: &str, text: &str) -> Result<(), ValueMistake> {
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
    result.map_err(|error| ValueMistake::new(text, format!("a {}: {}", error.what, error.allowed)))
}

fn parse_as<T: std::str::FromStr<Err = ParseError>>(text: &str) -> Result<(), ParseError> {
    text.parse::<T>().map(drop)
}

/// Checks the name of a section; every kind of name follows the same rule.
pub fn check_section_name(text: &str) -> Result<(), ValueMistake> {
    parse_as::<TargetName>(text).map_err(|error| ValueMistake::new(text, error.allowed))
}

fn check_enum(words: &[Value], text: &str) -> Result<Value, ValueMistake> {
    let words: Vec<&str> = words.iter().filter_map(Value::as_str).collect();
    if words.contains(&text) {
        return Ok(Value::from(text));
    }
    let mut mistake = ValueMistake::new(text, words.join(", "));
    mistake.nearest = nearest_name(text, words).map(str::to_owned);
    Err(mistake)
}

fn check_integer(schema: &Value, text: &str) -> Result<Value, ValueMistake> {
    let least = schema["minimum"].as_i64().unwrap_or(i64::MIN);
    let most = schema["maximum"].as_i64().unwrap_or(i64::MAX);
    match text.parse::<i64>() {
        Ok(number) if (least..=most).contains(&number) => Ok(Value::from(number)),
        _ => Err(ValueMistake::new(text, range_text(schema))),
    }
}

fn range_text(schema: &Value) -> String {
    match (schema["minimum"].as_i64(), schema["maximum"].as_i64()) {
        (Some(least), Some(most)) => format!("an integer from {least} to {most}"),
        (Some(least), None) => format!("an integer of at least {least}"),
        (None, Some(most)) => format!("an integer of at most {most}"),
        (None, None) => "an integer".to_owned(),
    }
}

fn check_boolean(text: &str) -> Result<Value, ValueMistake> {
    match text {
        "true" => Ok(Value::Bool(true)),
        "false" => Ok(Value::Bool(false)),
        _ => Err(ValueMistake::new(text, "true or false")),
    }
}

fn check_text(schema: &Value, text: &str) -> Result<Value, ValueMistake> {
    let length = text.chars().count() as u64;
    let least = schema["minLength"].as_u64().unwrap_or(0);
    let most = schema["maxLength"].as_u64().unwrap_or(u64::MAX);
    if !(least..=most).contains(&length) {
        // The text itself is not shown, since such a value may be a secret.
        return Err(ValueMistake {
            found: format!("{length} characters"),
            allowed: length_text(schema),
            nearest: None,
        });
    }
    match schema["format"].as_str() {
        Some("socket-address") if text.parse::<SocketAddr>().is_err() => Err(ValueMistake::new(
            text,
            "an IP address with a port, such as 192.0.2.1:8080",
        )),
        Some("sha256-hex") if !is_sha256(text) => Err(ValueMistake::new(
            text,
            format!("{SHA256_DIGITS} hexadecimal digits"),
        )),
        _ => Ok(Value::from(text)),
    }
}

fn length_text(schema: &Value) -> String {
    match (schema["minLength"].as_u64(), schema["maxLength"].as_u64()) {
        (Some(least), Some(most)) => format!("{least} to {most} characters"),
        (Some(least), None) => format!("at least {least} characters"),
        (_, most) => format!("at most {} characters", most.unwrap_or_default()),
    }
}

fn is_sha256(text: &str) -> bool {
    text.len() == SHA256_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}
