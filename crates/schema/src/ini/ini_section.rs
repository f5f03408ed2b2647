/// One line `key = value`, or a line without `=`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IniEntry<'a> {
    /// Line number in the file, from 1.
    pub line: u32,
    /// Text before the `=`, trimmed.
    pub key: &'a str,
    /// Text after the `=`, trimmed; `None` if the line has no `=`.
    pub value: Option<&'a str>,
}

/// One section `[kind]` or `[kind NAME]` with its entries in file order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IniSection<'a> {
    /// Line number of the header, from 1; 0 for the entries before the first header.
    pub line: u32,
    /// First word in the header; empty for the entries before the first header.
    pub kind: &'a str,
    /// The rest of the header, trimmed; empty if there is none.
    pub name: &'a str,
    /// Entries of the section.
    pub entries: Vec<IniEntry<'a>>,
}

impl<'a> IniSection<'a> {
    /// Creates a section without entries; `header` is the text between the brackets.
    pub fn new(line: u32, header: &'a str) -> Self {
        let header = header.trim();
        let (kind, name) = header
            .split_once(char::is_whitespace)
            .unwrap_or((header, ""));
        Self {
            line,
            kind,
            name: name.trim(),
            entries: Vec::new(),
        }
    }

    /// Returns the header in its normal form, with brackets.
    pub fn header(&self) -> String {
        match self.name {
            "" => format!("[{}]", self.kind),
            name => format!("[{} {name}]", self.kind),
        }
    }
}
