use ini_core::{Item, Parser};

use super::{IniEntry, IniSection};

/// An INI file split into sections.
///
/// A line that starts with `;` or `#` is a comment. A value extends to the end of its line and is
/// trimmed; quotes and comments after a value have no special meaning.
///
/// ```
/// let file = schema::IniFile::parse("[target a]\nkind = engine\n");
/// assert_eq!(file.sections[1].name, "a");
/// assert_eq!(file.sections[1].entries[0].line, 2);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IniFile<'a> {
    /// The sections in file order; the first one holds the entries before the first header.
    pub sections: Vec<IniSection<'a>>,
    /// Lines that start with `[` but are not a valid header.
    pub malformed: Vec<IniEntry<'a>>,
}

impl<'a> IniFile<'a> {
    /// Parses `text`; malformed lines are kept for the caller to report.
    pub fn parse(text: &'a str) -> Self {
        let text = text.strip_prefix('\u{feff}').unwrap_or(text);
        let mut file = Self {
            sections: Vec::new(),
            malformed: Vec::new(),
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
                    None => file.malformed.push(IniEntry {
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

/// Returns the text between the brackets of a header that the parser rejected because of whitespace
/// after the closing bracket.
fn header_text(found: &str) -> Option<&str> {
    found.trim().strip_prefix('[')?.strip_suffix(']')
}
