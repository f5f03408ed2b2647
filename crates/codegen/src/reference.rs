//! The reference page of the settings, written from the schemas.

use std::fmt::Write;

use serde_json::Value;

const REF_PREFIX: &str = "#/definitions/";

const INTRODUCTION: &str = "\
# Settings reference

Written by `cargo run -p codegen` from `crates/schema/schema`; do not edit.

A node reads its settings from an INI file when it starts. The fleet declaration is a set of INI
values under one key prefix of the platform; [declarations.md](declarations.md) says how it is
published.

A line that starts with `;` or `#` is a comment. A value runs to the end of its line, without
quotes, and is trimmed. Each section stands once, each key once in its section. Every mistake is
reported at once, as in

    node.ini:3: domian: found an unknown key in [node], allowed domain, events, name; did you mean domain

Names are 1 to 128 letters, digits and `-_.:`. Addresses are IP addresses with a port, since no
names are resolved. Labels and selectors have the syntax of Kubernetes: `model=quill,tier=a` is a
set of labels; `model=quill,version in (2,3),tier!=b,!retired` is a selector, all terms of which
must hold, and an empty selector matches everything.
";

/// Returns the page for the schemas of the settings and of the declaration.
pub fn write_reference(settings: &Value, declaration: &Value) -> String {
    let mut page = INTRODUCTION.to_owned();
    for (title, root) in [
        ("Node settings", settings),
        ("Fleet declaration", declaration),
    ] {
        let _ = writeln!(page, "\n## {title}\n\n{}", text_of(root, "description"));
        for (kind, rule) in members(&root["properties"]) {
            write_section(&mut page, root, kind, rule);
        }
    }
    page
}

fn write_section(page: &mut String, root: &Value, kind: &str, rule: &Value) {
    let inner = &rule["additionalProperties"];
    let (header, section) = match inner.is_object() {
        true => (format!("[{kind} NAME]"), resolve(root, inner)),
        false => (format!("[{kind}]"), resolve(root, rule)),
    };
    let required: Vec<&str> = items(&section["required"]).collect();
    let is_required = items(&root["required"]).any(|name| name == kind);
    let presence = match (inner.is_object(), is_required) {
        (true, _) => "Any number of times.",
        (false, true) => "Required.",
        (false, false) => "Optional.",
    };
    let description = text_of(section, "description");
    let _ = writeln!(page, "\n### `{header}`\n\n{description} {presence}\n");
    page.push_str("| key | value | default | meaning |\n|---|---|---|---|\n");
    for (key, value) in members(&section["properties"]) {
        let default = match (&value["default"], required.contains(&key)) {
            (_, true) => "required".to_owned(),
            (Value::Null, false) => "none".to_owned(),
            (Value::String(text), false) if text.is_empty() => "empty".to_owned(),
            (Value::String(text), false) => format!("`{text}`"),
            (other, false) => format!("`{other}`"),
        };
        let form = form_of(root, value);
        let meaning = text_of(value, "description");
        let meaning = if meaning.is_empty() { key } else { meaning };
        let _ = writeln!(page, "| `{key}` | {form} | {default} | {meaning} |");
    }
}

/// What a value looks like, in words.
fn form_of(root: &Value, value: &Value) -> String {
    let name = reference_name(value);
    let rule = resolve(root, value);
    if rule["enum"].is_array() {
        let words: Vec<String> = items(&rule["enum"])
            .map(|word| format!("`{word}`"))
            .collect();
        return words.join(", ");
    }
    match name {
        Some("LabelSet") => return "labels".to_owned(),
        Some("LabelSelector") => return "selector".to_owned(),
        Some(_) => return "name".to_owned(),
        None => {}
    }
    let least = rule["minimum"].as_i64().or(rule["minLength"].as_i64());
    let most = rule["maximum"].as_i64().or(rule["maxLength"].as_i64());
    let range = match (least, most) {
        (Some(least), Some(most)) => format!(", {least} to {most}"),
        (Some(least), None) => format!(", at least {least}"),
        (None, Some(most)) => format!(", at most {most}"),
        (None, None) => String::new(),
    };
    match (text_of(rule, "type"), text_of(rule, "format")) {
        ("integer", _) => format!("integer{range}"),
        ("boolean", _) => "`true` or `false`".to_owned(),
        (_, "socket-address") => "address with port".to_owned(),
        (_, "sha256-hex") => "64 hexadecimal digits".to_owned(),
        _ if range.is_empty() => "text".to_owned(),
        _ => format!("text{range} characters"),
    }
}

fn reference_name(value: &Value) -> Option<&str> {
    value["$ref"].as_str()?.strip_prefix(REF_PREFIX)
}

fn resolve<'a>(root: &'a Value, value: &'a Value) -> &'a Value {
    match reference_name(value) {
        Some(name) => &root["definitions"][name],
        None => value,
    }
}

fn text_of<'a>(value: &'a Value, key: &str) -> &'a str {
    value[key].as_str().unwrap_or_default()
}

fn members(value: &Value) -> impl Iterator<Item = (&str, &Value)> {
    let object = value.as_object().into_iter().flatten();
    object.map(|(name, member)| (name.as_str(), member))
}

fn items(value: &Value) -> impl Iterator<Item = &str> {
    let array = value.as_array().into_iter().flatten();
    array.filter_map(Value::as_str)
}
