use std::collections::BTreeSet;
use std::fmt::Write;

use schema::{IniEntry, IniFile, IniSection, SettingError};
use smol_str::SmolStr;

use super::{KeyText, TextHash};

/// Name of the key that lists the other keys.
const HEAD_NAME: &str = "head";
/// Most keys that one declaration may have.
const KEY_LIMIT: usize = 4_096;
/// Longest name of a key in bytes.
const NAME_LIMIT: usize = 200;

/// Name and hash of one key that `head` lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeadEntry {
    /// Name of the key without the prefix.
    pub name: SmolStr,
    /// Hash that its text must have.
    pub hash: TextHash,
}

/// The parsed `head` key: the epoch, and the name and hash of every other key of the set.
///
/// ```
/// use fleet::{HeadManifest, KeyText, make_head};
/// let text = make_head(3, &[KeyText::new("fleet.ini", "[domain patan]\n")]);
/// let head = HeadManifest::parse(&text).unwrap();
/// assert_eq!((head.epoch, head.entries.len()), (3, 1));
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeadManifest {
    /// Epoch, set by the operators; its revisions supersede all revisions of smaller epochs.
    pub epoch: u64,
    /// The keys of the set, sorted by name.
    pub entries: Vec<HeadEntry>,
}

impl HeadManifest {
    /// Parses the text of the `head` key.
    ///
    /// # Errors
    ///
    /// Returns every mistake with its line.
    pub fn parse(text: &str) -> Result<Self, Vec<SettingError>> {
        let ini = IniFile::parse(text);
        let mut parser = HeadParser::default();
        for entry in &ini.malformed {
            parser.report(entry.line, entry.key, "a broken header", "[keys]");
        }
        for section in &ini.sections {
            parser.read_section(section);
        }
        parser.finish()
    }

    /// Returns the hash that the key `name` must have.
    pub fn hash(&self, name: &str) -> Option<TextHash> {
        let at = self
            .entries
            .binary_search_by(|entry| entry.name.as_str().cmp(name));
        Some(self.entries[at.ok()?].hash)
    }
}

/// Parser of the `head` key, which collects every mistake in it.
#[derive(Default)]
struct HeadParser {
    epoch: Option<u64>,
    entries: Vec<HeadEntry>,
    names: BTreeSet<SmolStr>,
    mistakes: Vec<SettingError>,
}

impl HeadParser {
    fn read_section(&mut self, section: &IniSection) {
        match (section.line, section.kind, section.name) {
            (0, ..) => section.entries.iter().for_each(|e| self.read_epoch(e)),
            (_, "keys", "") => section.entries.iter().for_each(|e| self.read_key(e)),
            (line, ..) => self.report(line, &section.header(), "an unknown section", "[keys]"),
        }
    }

    fn read_epoch(&mut self, entry: &IniEntry) {
        if entry.key != "epoch" {
            return self.report(entry.line, entry.key, "an unknown key", "epoch");
        }
        if self.epoch.is_some() {
            return self.report(entry.line, entry.key, "the key again", "each key once");
        }
        let value = entry.value.unwrap_or_default();
        match value.parse() {
            Ok(epoch) => self.epoch = Some(epoch),
            Err(_) => {
                self.epoch = Some(0);
                self.report(entry.line, entry.key, value, "an integer of at least 0");
            }
        }
    }

    fn read_key(&mut self, entry: &IniEntry) {
        if !is_key_name(entry.key) {
            let allowed = "1 to 200 letters, digits and -_./, other than head";
            return self.report(entry.line, entry.key, "a key name", allowed);
        }
        if !self.names.insert(SmolStr::new(entry.key)) {
            return self.report(entry.line, entry.key, "the key again", "each key once");
        }
        if self.names.len() > KEY_LIMIT {
            return self.report(entry.line, entry.key, "another key", "at most 4096 keys");
        }
        let value = entry.value.unwrap_or_default();
        match value.parse() {
            Ok(hash) => self.entries.push(HeadEntry {
                name: SmolStr::new(entry.key),
                hash,
            }),
            Err(_) => self.report(entry.line, entry.key, value, "64 hexadecimal digits"),
        }
    }

    fn finish(mut self) -> Result<HeadManifest, Vec<SettingError>> {
        let Some(epoch) = self.epoch else {
            self.report(1, "epoch", "nothing", "an integer of at least 0");
            return Err(self.mistakes);
        };
        if !self.mistakes.is_empty() {
            return Err(self.mistakes);
        }
        self.entries
            .sort_by(|left, right| left.name.cmp(&right.name));
        Ok(HeadManifest {
            epoch,
            entries: self.entries,
        })
    }

    fn report(&mut self, line: u32, key: &str, found: &str, allowed: &str) {
        self.mistakes.push(SettingError {
            file: SmolStr::new_static(HEAD_NAME),
            line,
            key: SmolStr::new(key),
            found: SmolStr::new(found),
            allowed: SmolStr::new(allowed),
            nearest: None,
        });
    }
}

fn is_key_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_./".contains(&byte);
    let length = 1..=NAME_LIMIT;
    name != HEAD_NAME && length.contains(&name.len()) && name.bytes().all(allowed)
}

/// Returns the text of the `head` key for `keys`. Operators publish it after the keys, so that
/// readers find the keys that it lists.
///
/// ```
/// let head = fleet::make_head(1, &[]);
/// assert_eq!(head, "epoch = 1\n\n[keys]\n");
/// ```
pub fn make_head(epoch: u64, keys: &[KeyText]) -> String {
    let mut sorted: Vec<&KeyText> = keys.iter().collect();
    sorted.sort_by(|left, right| left.name.cmp(&right.name));
    let mut text = format!("epoch = {epoch}\n\n[keys]\n");
    for key in sorted {
        let hash = TextHash::of(&key.text);
        // Writing to a String can't fail.
        let _ = writeln!(text, "{} = {hash}", key.name);
    }
    text
}
