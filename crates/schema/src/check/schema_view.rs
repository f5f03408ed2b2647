use serde_json::Value;

const REF_PREFIX: &str = "#/definitions/";

/// Read access to a JSON Schema that describes the sections of an INI file.
#[derive(Clone, Copy)]
pub struct SchemaView<'a> {
    root: &'a Value,
}

/// How often a kind of section may occur in a file, with the schema of the section.
pub enum SectionRule<'a> {
    /// Once, as `[kind]`.
    Single(&'a Value),
    /// Any number of times, as `[kind NAME]`.
    Named(&'a Value),
}

impl<'a> SchemaView<'a> {
    /// Creates a view of the schema `root`.
    pub fn new(root: &'a Value) -> Self {
        Self { root }
    }

    /// Returns the kinds of sections, sorted by name.
    pub fn section_kinds(&self) -> impl Iterator<Item = &'a str> + use<'a> {
        properties(self.root).map(|(name, _)| name)
    }

    /// Returns the rule for sections of this kind; `None` if the schema has no such kind.
    pub fn section_rule(&self, kind: &str) -> Option<SectionRule<'a>> {
        let rule = self.root["properties"].get(kind)?;
        match rule.get("additionalProperties") {
            Some(inner) if inner.is_object() => Some(SectionRule::Named(self.resolve(inner))),
            _ => Some(SectionRule::Single(self.resolve(rule))),
        }
    }

    /// Returns the kinds of sections that the file must contain.
    pub fn required_sections(&self) -> impl Iterator<Item = &'a str> + use<'a> {
        required(self.root)
    }

    /// Follows a `$ref` to its definition.
    pub fn resolve(&self, value: &'a Value) -> &'a Value {
        match definition_name(value) {
            Some(name) => &self.root["definitions"][name],
            None => value,
        }
    }
}

/// Returns the name of the definition that `value` refers to.
pub fn definition_name(value: &Value) -> Option<&str> {
    value.get("$ref")?.as_str()?.strip_prefix(REF_PREFIX)
}

/// Returns the properties of an object schema, sorted by name.
pub fn properties(schema: &Value) -> impl Iterator<Item = (&str, &Value)> {
    schema["properties"]
        .as_object()
        .into_iter()
        .flatten()
        .map(|(name, value)| (name.as_str(), value))
}

/// Returns the names of the required properties of an object schema.
pub fn required(schema: &Value) -> impl Iterator<Item = &str> {
    schema["required"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(Value::as_str)
}
