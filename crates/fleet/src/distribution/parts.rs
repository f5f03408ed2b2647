use schema::fleet::{KeyPart, WantedPart};

use crate::KeySet;

/// Name by which pulls request the `head` key; no other key may have it.
pub const HEAD_NAME: &str = "head";

/// Returns the wanted parts of a set, as far as they fit into `limit` bytes of text.
pub fn cut_parts(set: &KeySet, wanted: &[WantedPart], limit: usize) -> Vec<KeyPart> {
    let mut parts = Vec::new();
    let mut left = limit;
    for part in wanted {
        let text = match part.name.as_str() {
            HEAD_NAME => Some(set.head()),
            name => set.text(name),
        };
        let Some(text) = text else {
            continue;
        };
        let start = usize::try_from(part.offset).unwrap_or(usize::MAX);
        if start > text.len() || !text.is_char_boundary(start) {
            continue;
        }
        let end = text.floor_char_boundary(start.saturating_add(left));
        if end == start && start < text.len() {
            break;
        }
        left -= end - start;
        parts.push(KeyPart {
            name: part.name.clone(),
            offset: part.offset,
            total: text.len() as u64,
            text: text[start..end].to_owned(),
        });
        // The receiver assembles one key at a time, so nothing may follow an incomplete key.
        if end < text.len() {
            break;
        }
    }
    parts
}
