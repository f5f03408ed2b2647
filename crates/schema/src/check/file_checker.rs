use std::collections::BTreeMap;

use serde_json::{Map, Value};
use smol_str::SmolStr;

use super::nearest::nearest_name;
use super::schema_view::{SchemaView, SectionRule, properties, required};
use super::setting_error::SettingError;
use super::value_check::{ValueError, check_section_name, check_value};
use crate::ini::{IniEntry, IniFile, IniSection};

/// Validates one INI file against a schema and collects all errors in it.
pub struct FileChecker<'a> {
    file: SmolStr,
    view: SchemaView<'a>,
    errors: Vec<SettingError>,
    /// Header line of each section seen, by kind and name.
    seen: BTreeMap<(&'a str, &'a str), u32>,
    root: Map<String, Value>,
}

impl<'a> FileChecker<'a> {
    /// Creates a checker that reports errors under the file name `file`.
    pub fn new(file: &str, view: SchemaView<'a>) -> Self {
        Self {
            file: SmolStr::new(file),
            view,
            errors: Vec::new(),
            seen: BTreeMap::new(),
            root: Map::new(),
        }
    }

    /// Converts `text` to JSON that conforms to the schema, or returns all errors in line order.
    pub fn run(mut self, text: &'a str) -> Result<Value, Vec<SettingError>> {
        let ini = IniFile::parse(text);
        for entry in &ini.malformed {
            self.report(entry.line, entry.key, "a broken header", "[SECTION]", None);
        }
        for section in &ini.sections {
            self.check_section(section);
        }
        self.check_required_sections();
        if self.errors.is_empty() {
            return Ok(Value::Object(self.root));
        }
        self.errors.sort();
        Err(self.errors)
    }

    fn check_section(&mut self, section: &IniSection<'a>) {
        if section.line == 0 {
            for entry in &section.entries {
                self.report(
                    entry.line,
                    entry.key,
                    "no section",
                    "[SECTION] above it",
                    None,
                );
            }
            return;
        }
        let Some(rule) = self.view.section_rule(section.kind) else {
            return self.report_unknown_section(section);
        };
        let header = section.header();
        if let Some(first) = self.seen.insert((section.kind, section.name), section.line) {
            let found = format!("the section again, first in line {first}");
            self.report(section.line, &header, &found, "each section once", None);
        }
        match rule {
            SectionRule::Single(schema) => {
                if !section.name.is_empty() {
                    let allowed = format!("[{}]", section.kind);
                    self.report(section.line, &header, "a name", &allowed, None);
                }
                let values = self.check_entries(schema, section);
                self.root.insert(section.kind.to_owned(), values);
            }
            SectionRule::Named(schema) => {
                if let Err(error) = check_section_name(section.name) {
                    self.report_value(section.line, &header, error);
                }
                let values = self.check_entries(schema, section);
                let entry = self.root.entry(section.kind);
                let group = entry.or_insert_with(|| Value::Object(Map::new()));
                if let Some(group) = group.as_object_mut() {
                    group.insert(section.name.to_owned(), values);
                }
            }
        }
    }

    fn check_entries(&mut self, schema: &'a Value, section: &IniSection<'a>) -> Value {
        let mut values = Map::new();
        let mut lines: BTreeMap<&str, u32> = BTreeMap::new();
        for entry in &section.entries {
            let Some(rule) = schema["properties"].get(entry.key) else {
                self.report_unknown_key(schema, section, entry);
                continue;
            };
            if let Some(first) = lines.insert(entry.key, entry.line) {
                let found = format!("the key again, first in line {first}");
                self.report(entry.line, entry.key, &found, "each key once", None);
                continue;
            }
            let Some(text) = entry.value else {
                self.report(entry.line, entry.key, "no `=`", "KEY = VALUE", None);
                continue;
            };
            match check_value(self.view, rule, text) {
                Ok(value) => drop(values.insert(entry.key.to_owned(), value)),
                Err(error) => self.report_value(entry.line, entry.key, error),
            }
        }
        for key in required(schema).filter(|key| !lines.contains_key(key)) {
            let allowed = format!("a value, since {} needs it", section.header());
            self.report(section.line, key, "nothing", &allowed, None);
        }
        Value::Object(values)
    }

    fn check_required_sections(&mut self) {
        for kind in self.view.required_sections() {
            if !self.seen.keys().any(|(seen, _)| *seen == kind) {
                let header = format!("[{kind}]");
                self.report(
                    1,
                    &header,
                    "nothing",
                    "the section, which is required",
                    None,
                );
            }
        }
    }

    fn report_unknown_section(&mut self, section: &IniSection) {
        let known: Vec<&str> = self.view.section_kinds().collect();
        let headers: Vec<String> = known.iter().map(|kind| self.header_syntax(kind)).collect();
        let nearest = nearest_name(section.kind, known).map(|kind| self.header_syntax(kind));
        let header = section.header();
        let allowed = headers.join(", ");
        self.report(
            section.line,
            &header,
            "an unknown section",
            &allowed,
            nearest,
        );
    }

    fn header_syntax(&self, kind: &str) -> String {
        match self.view.section_rule(kind) {
            Some(SectionRule::Named(_)) => format!("[{kind} NAME]"),
            _ => format!("[{kind}]"),
        }
    }

    fn report_unknown_key(&mut self, schema: &Value, section: &IniSection, entry: &IniEntry) {
        let known: Vec<&str> = properties(schema).map(|(key, _)| key).collect();
        let found = format!("an unknown key in {}", section.header());
        let nearest = nearest_name(entry.key, known.iter().copied()).map(str::to_owned);
        self.report(entry.line, entry.key, &found, &known.join(", "), nearest);
    }

    fn report_value(&mut self, line: u32, key: &str, error: ValueError) {
        self.report(line, key, &error.found, &error.allowed, error.nearest);
    }

    fn report(
        &mut self,
        line: u32,
        key: &str,
        found: &str,
        allowed: &str,
        nearest: Option<String>,
    ) {
        self.errors.push(SettingError {
            file: self.file.clone(),
            line,
            key: SmolStr::new(key),
            found: SmolStr::new(found),
            allowed: SmolStr::new(allowed),
            nearest: nearest.map(SmolStr::from),
        });
    }
}
