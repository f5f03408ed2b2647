use std::fmt;

/// Spaces between two columns.
const COLUMN_GAP: usize = 2;

/// Text table with aligned columns; the first row is the header.
///
/// ```
/// let mut table = agatemoor::TextTable::new(["NODE", "STATE"]);
/// table.push(["balaju-1".to_owned(), "alive".to_owned()]);
/// assert_eq!(table.to_string(), "NODE      STATE\nbalaju-1  alive\n");
/// ```
#[derive(Clone, Debug)]
pub struct TextTable<const N: usize> {
    rows: Vec<[String; N]>,
}

impl<const N: usize> TextTable<N> {
    /// Creates a table that has only a header row.
    pub fn new(header: [&str; N]) -> Self {
        Self {
            rows: vec![header.map(str::to_owned)],
        }
    }

    /// Adds a row; an empty cell is shown as `-`.
    pub fn push(&mut self, row: [String; N]) {
        self.rows.push(row.map(|cell| match cell.is_empty() {
            true => "-".to_owned(),
            false => replace_control_characters(&cell),
        }));
    }
}

impl<const N: usize> fmt::Display for TextTable<N> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = |cell: &String| cell.chars().count();
        let width = |column: usize| self.rows.iter().map(|row| count(&row[column])).max();
        let widths: [usize; N] = std::array::from_fn(|column| width(column).unwrap_or(0));
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(widths) {
                line.push_str(cell);
                let gap = width - count(cell) + COLUMN_GAP;
                line.extend(std::iter::repeat_n(' ', gap));
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}

/// Replaces control characters by U+FFFD, so that text from elsewhere cannot control the terminal.
///
/// ```
/// assert_eq!(agatemoor::replace_control_characters("a\u{1b}[2Jb"), "a\u{fffd}[2Jb");
/// ```
pub fn replace_control_characters(text: &str) -> String {
    let replace = |c: char| if c.is_control() { '\u{fffd}' } else { c };
    text.chars().map(replace).collect()
}
