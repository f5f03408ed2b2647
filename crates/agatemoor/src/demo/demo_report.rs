use std::fmt;

/// One checked promise.
#[derive(Clone, Debug, PartialEq, Eq)]
struct CheckRow {
    what: String,
    held: bool,
    detail: String,
}

/// What the demo checked, for a person to read.
#[derive(Clone, Debug, Default)]
pub struct DemoReport {
    rows: Vec<CheckRow>,
}

impl DemoReport {
    /// Notes whether a promise held.
    pub fn check(&mut self, what: &str, held: bool, detail: impl Into<String>) {
        self.rows.push(CheckRow {
            what: what.to_owned(),
            held,
            detail: detail.into(),
        });
    }

    /// Tells whether every promise held.
    pub fn all_held(&self) -> bool {
        self.rows.iter().all(|row| row.held)
    }
}

impl fmt::Display for DemoReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for row in &self.rows {
            let verdict = if row.held { "held" } else { "BROKEN" };
            write!(f, "{verdict:7}{}", row.what)?;
            if !row.detail.is_empty() {
                write!(f, " ({})", row.detail)?;
            }
            writeln!(f)?;
        }
        let held = self.rows.iter().filter(|row| row.held).count();
        write!(f, "{held} of {} promises held", self.rows.len())
    }
}
