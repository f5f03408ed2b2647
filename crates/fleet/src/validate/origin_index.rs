use std::collections::BTreeMap;

use schema::{IniFile, SettingError};
use smol_str::SmolStr;

/// File and line of every section, for reporting mistakes that the checks across sections find.
#[derive(Default)]
pub struct OriginIndex {
    lines: BTreeMap<(SmolStr, SmolStr), (SmolStr, u32)>,
}

impl OriginIndex {
    /// Adds the sections of one key; returns a mistake for each section that was added before.
    pub fn add_file(&mut self, file: &SmolStr, text: &str) -> Vec<SettingError> {
        let mut mistakes = Vec::new();
        for section in IniFile::parse(text).sections {
            if section.line == 0 {
                continue;
            }
            let id = (SmolStr::new(section.kind), SmolStr::new(section.name));
            let Some((first, line)) = self.lines.get(&id) else {
                self.lines.insert(id, (file.clone(), section.line));
                continue;
            };
            mistakes.push(SettingError {
                file: file.clone(),
                line: section.line,
                key: SmolStr::new(section.header()),
                found: SmolStr::new(format!("the section again, first in {first}:{line}")),
                allowed: SmolStr::new_static("each section once"),
                nearest: None,
            });
        }
        mistakes
    }

    /// Creates a mistake about the section `[kind name]`, with its file and line.
    pub fn mistake(&self, kind: &str, name: &str, problem: SectionProblem) -> SettingError {
        let id = (SmolStr::new(kind), SmolStr::new(name));
        let (file, line) = self.lines.get(&id).cloned().unwrap_or_default();
        SettingError {
            file,
            line,
            key: SmolStr::new(format!("[{kind} {name}] {}", problem.key)),
            found: SmolStr::new(problem.found),
            allowed: SmolStr::new(problem.allowed),
            nearest: problem.nearest,
        }
    }
}

/// What is wrong with one setting of a section; it does not name the section or its file.
pub struct SectionProblem {
    pub key: &'static str,
    pub found: String,
    pub allowed: String,
    pub nearest: Option<SmolStr>,
}

impl SectionProblem {
    /// Creates a problem without a suggestion.
    pub fn new(key: &'static str, found: impl Into<String>, allowed: impl Into<String>) -> Self {
        Self {
            key,
            found: found.into(),
            allowed: allowed.into(),
            nearest: None,
        }
    }
}
