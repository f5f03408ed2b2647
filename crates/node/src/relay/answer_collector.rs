use bytes::Bytes;
use serde_json::{Map, Value};

/// Text fields of a chunk that are appended to the earlier text instead of replacing it.
const JOINED_FIELDS: [&str; 5] = [
    "text",
    "content",
    "refusal",
    "reasoning_content",
    "arguments",
];

/// Merges the chunks of a stream into one complete answer.
///
/// ```
/// let mut collector = node::AnswerCollector::new();
/// collector.add(br#"{"object":"text_completion","choices":[{"index":0,"text":"a"}]}"#);
/// collector.add(br#"{"choices":[{"index":0,"text":"b","finish_reason":"stop"}]}"#);
/// let body = collector.finish();
/// let answer: serde_json::Value = serde_json::from_slice(&body).unwrap();
/// assert_eq!(answer["choices"][0]["text"], "ab");
/// ```
#[derive(Clone, Debug, Default)]
pub struct AnswerCollector {
    answer: Map<String, Value>,
    size: usize,
}

impl AnswerCollector {
    /// Creates a collector without chunks.
    pub fn new() -> Self {
        Self::default()
    }

    /// Size of all chunks added so far, in bytes.
    pub fn size(&self) -> usize {
        self.size
    }

    /// Discards all chunks, for an answer that another generation replaces.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Adds a chunk; one that is not a JSON object is ignored.
    pub fn add(&mut self, chunk: &[u8]) {
        self.size += chunk.len();
        let Ok(Value::Object(chunk)) = serde_json::from_slice(chunk) else {
            return;
        };
        for (name, value) in chunk {
            match (name.as_str(), value) {
                ("choices", Value::Array(choices)) => self.add_choices(choices),
                ("object", Value::String(object)) => {
                    let whole = object.strip_suffix(".chunk").unwrap_or(&object);
                    self.answer.insert(name, Value::String(whole.to_owned()));
                }
                (_, Value::Null) | ("choices", _) => {}
                (_, value) => drop(self.answer.insert(name, value)),
            }
        }
    }

    /// Returns the complete answer as JSON.
    ///
    /// A chat message gets the role `assistant` if no chunk named one, since client libraries
    /// require a role.
    pub fn finish(&mut self) -> Bytes {
        let mut answer = std::mem::take(&mut self.answer);
        if let Some(Value::Array(choices)) = answer.get_mut("choices") {
            choices.iter_mut().for_each(complete_message);
        }
        serde_json::to_vec(&answer).unwrap_or_default().into()
    }

    fn add_choices(&mut self, choices: Vec<Value>) {
        let known = self
            .answer
            .entry("choices")
            .or_insert_with(|| Value::Array(Vec::new()));
        let Value::Array(known) = known else {
            return;
        };
        for choice in choices {
            let Value::Object(mut choice) = choice else {
                continue;
            };
            if let Some(delta) = choice.remove("delta") {
                choice.insert("message".to_owned(), delta);
            }
            merge_entry(known, choice);
        }
    }
}

/// Adds the role to a chat message without one.
fn complete_message(choice: &mut Value) {
    if let Some(Value::Object(message)) = choice.get_mut("message") {
        message
            .entry("role")
            .or_insert_with(|| Value::from("assistant"));
    }
}

/// Merges an entry into the one with the same index, or appends it.
///
/// An entry without an index gets index 0, since engines that produce one choice leave it out.
fn merge_entry(known: &mut Vec<Value>, mut entry: Map<String, Value>) {
    let index = entry.entry("index").or_insert(Value::from(0)).clone();
    let same = |value: &&mut Value| value["index"] == index;
    match known.iter_mut().find(same) {
        Some(Value::Object(old)) => merge_fields(old, entry),
        _ => known.push(Value::Object(entry)),
    }
}

fn merge_fields(old: &mut Map<String, Value>, new: Map<String, Value>) {
    for (name, value) in new {
        match (old.get_mut(&name), value) {
            (_, Value::Null) => {
                old.entry(name).or_insert(Value::Null);
            }
            (Some(Value::String(text)), Value::String(more)) if is_joined(&name) => {
                text.push_str(&more);
            }
            (Some(Value::Object(inner)), Value::Object(more)) => merge_fields(inner, more),
            (Some(Value::Array(list)), Value::Array(more)) => merge_lists(list, more),
            (_, value) => drop(old.insert(name, value)),
        }
    }
}

/// Merges lists: objects with an index, such as tool calls, by that index; other values are
/// appended.
fn merge_lists(list: &mut Vec<Value>, more: Vec<Value>) {
    for value in more {
        match value {
            Value::Object(entry) if entry.contains_key("index") => merge_entry(list, entry),
            value => list.push(value),
        }
    }
}

fn is_joined(name: &str) -> bool {
    JOINED_FIELDS.contains(&name)
}
