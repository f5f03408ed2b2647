use std::fmt;

/// Result of one check.
#[derive(Clone, Debug, PartialEq, Eq)]
struct CheckRow {
    guarantee: String,
    held: bool,
    detail: String,
}

/// Report of the demo: one line for each check, then their totals.
#[derive(Clone, Debug, Default)]
pub struct DemoReport {
    rows: Vec<CheckRow>,
}

impl DemoReport {
    /// Adds the result of a check: the guarantee, whether it held, and details for the reader.
    pub fn add(&mut self, guarantee: &str, held: bool, detail: impl Into<String>) {
        self.rows.push(CheckRow {
            guarantee: guarantee.to_owned(),
            held,
            detail: detail.into(),
        });
    }

    /// Returns whether every guarantee held.
    pub fn all_held(&self) -> bool {
        self.rows.iter().all(|row| row.held)
    }
}

impl fmt::Display for DemoReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for row in &self.rows {
            let verdict = if row.held { "held" } else { "BROKEN" };
            write!(f, "{verdict:7}{}", row.guarantee)?;
            if !row.detail.is_empty() {
                write!(f, " ({})", row.detail)?;
            }
            writeln!(f)?;
        }
        let held = self.rows.iter().filter(|row| row.held).count();
        write!(f, "{held} of {} promises held", self.rows.len())
    }
}
