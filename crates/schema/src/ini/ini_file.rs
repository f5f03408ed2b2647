use ini_core::{Item, Parser};

use super::{IniEntry, IniSection};

/// An INI text split into sections.
///
/// A line that starts with `;` or `#` is a comment. Values run to the end of their line and are
/// trimmed; there are neither quotes nor comments behind a value.
///
/// ```
/// let file = schema::IniFile::parse("[target a]\nkind = engine\n");
/// assert_eq!(file.sections[1].name, "a");
/// assert_eq!(file.sections[1].entries[0].line, 2);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IniFile<'a> {
    /// The sections; the first one holds the entries before the first header.
    pub sections: Vec<IniSection<'a>>,
    /// Lines that start with `[` and are not a header.
    pub broken: Vec<IniEntry<'a>>,
}

impl<'a> IniFile<'a> {
    /// Splits `text`; lines that are no INI are kept for the caller to report.
    pub fn parse(text: &'a str) -> Self {
        let text = text.strip_prefix('\u{feff}').unwrap_or(text);
        let mut file = Self {
            sections: Vec::new(),
            broken: Vec::new(),
        };
        let mut section = IniSection::default();
        let mut parser = Parser::new(text).auto_trim(true);
        loop {
            let line = parser.line() + 1;
            match parser.next() {
                None => break,
                Some(Item::Section(header)) => {
                    file.sections.push(section);
                    section = IniSection::new(line, header);
                }
                Some(Item::Error(found)) => match header_text(found) {
                    Some(header) => {
                        file.sections.push(section);
                        section = IniSection::new(line, header);
                    }
                    None => file.broken.push(IniEntry {
                        line,
                        key: found,
                        value: None,
                    }),
                },
                Some(Item::Property(key, value)) if !key.starts_with([';', '#']) => {
                    section.entries.push(IniEntry { line, key, value });
                }
                Some(_) => {}
            }
        }
        file.sections.push(section);
        file
    }
}

/// The parser refuses a header with blanks after its bracket.
fn header_text(found: &str) -> Option<&str> {
    found.trim().strip_prefix('[')?.strip_suffix(']')
}
