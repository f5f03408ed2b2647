use std::fmt;

use base::{ClockTime, DomainName};
use serde::{Deserialize, Serialize};

use super::{RolloutRow, TargetRow};
use crate::RolloutState;

/// Declared and actual state of the targets and rollouts of all domains that reported.
///
/// ```
/// let report = orders::ConvergenceReport::default();
/// assert!(report.converged());
/// assert!(report.to_string().contains("converged: yes"));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConvergenceReport {
    /// Time of the report by the clock of the reporting node; ages in the table are relative to it.
    pub now: ClockTime,
    /// Targets, sorted by domain and name.
    pub targets: Vec<TargetRow>,
    /// Rollouts, sorted by domain and name.
    pub rollouts: Vec<RolloutRow>,
    /// Domains that reported, sorted.
    pub domains: Vec<DomainName>,
    /// Expected domains that have not reported.
    pub missing: Vec<DomainName>,
}

impl ConvergenceReport {
    /// Tells whether every domain reported and every target is in its declared state.
    ///
    /// A halted rollout counts as not converged even if no target waits for it.
    pub fn converged(&self) -> bool {
        let halted = |row: &RolloutRow| matches!(row.state, RolloutState::Halted { .. });
        self.missing.is_empty()
            && self.targets.iter().all(|row| row.blocked.is_none())
            && !self.rollouts.iter().any(halted)
    }

    /// Merges the report of another node into this one. If both have a row for a target, the one
    /// with the newer revision is kept, and at equal revisions the one of the target's owner. Times
    /// are converted to the clock of this report.
    #[must_use]
    pub fn merge(mut self, other: Self) -> Self {
        let shift = |since: ClockTime| {
            self.now
                .as_millis()
                .saturating_sub((other.now - since).as_millis())
        };
        for mut row in other.targets {
            row.since = ClockTime::new(shift(row.since));
            let order =
                |known: &TargetRow| (&known.domain, &known.target).cmp(&(&row.domain, &row.target));
            match self.targets.binary_search_by(order) {
                Err(at) => self.targets.insert(at, row),
                Ok(at) => {
                    let known = &mut self.targets[at];
                    if (row.revision, row.owned) > (known.revision, known.owned) {
                        *known = row;
                    }
                }
            }
        }
        for mut row in other.rollouts {
            row.since = ClockTime::new(shift(row.since));
            let order = |known: &RolloutRow| {
                (&known.domain, &known.rollout).cmp(&(&row.domain, &row.rollout))
            };
            match self.rollouts.binary_search_by(order) {
                Err(at) => self.rollouts.insert(at, row),
                Ok(at) => {
                    let known = &mut self.rollouts[at];
                    if (row.revision, row.failed, row.ready)
                        > (known.revision, known.failed, known.ready)
                    {
                        *known = row;
                    }
                }
            }
        }
        self.domains.extend(other.domains);
        self.domains.sort_unstable();
        self.domains.dedup();
        let missing = std::mem::take(&mut self.missing);
        self.expect(missing.into_iter().chain(other.missing))
    }

    /// Returns this report with every one of `domains` that has not reported listed as missing.
    #[must_use]
    pub fn expect(mut self, domains: impl IntoIterator<Item = DomainName>) -> Self {
        self.missing.extend(domains);
        self.missing.sort_unstable();
        self.missing.dedup();
        self.missing
            .retain(|domain| self.domains.binary_search(domain).is_err());
        self
    }
}

impl fmt::Display for ConvergenceReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut table = vec![
            [
                "DOMAIN", "ROLLOUT", "VERSION", "REVISION", "STATE", "READY", "SINCE", "",
            ]
            .map(String::from),
        ];
        for row in &self.rollouts {
            let reason = match &row.state {
                RolloutState::Halted { reason, .. } => reason.to_string(),
                _ => String::new(),
            };
            table.push([
                row.domain.to_string(),
                row.rollout.to_string(),
                row.version.to_string(),
                row.revision.to_string(),
                row.state.to_string(),
                format!("{}/{}", row.ready, row.selected),
                (self.now - row.since).to_string(),
                reason,
            ]);
        }
        write_table(f, &table)?;
        let mut table = vec![
            [
                "DOMAIN",
                "TARGET",
                "DECLARED",
                "REVISION",
                "ACTUAL",
                "CONVERGED",
                "SINCE",
                "BLOCKED BY",
            ]
            .map(String::from),
        ];
        for row in &self.targets {
            table.push([
                row.domain.to_string(),
                row.target.to_string(),
                dash(&row.declared),
                row.revision.to_string(),
                dash(&row.actual),
                if row.blocked.is_none() { "yes" } else { "no" }.to_owned(),
                (self.now - row.since).to_string(),
                row.blocked
                    .map_or("", |reason| reason.sentence())
                    .to_owned(),
            ]);
        }
        writeln!(f)?;
        write_table(f, &table)?;
        for domain in &self.missing {
            writeln!(f, "no report from domain {domain}")?;
        }
        let verdict = if self.converged() { "yes" } else { "no" };
        writeln!(f, "converged: {verdict}")
    }
}

/// Shows an empty cell as a dash.
fn dash(text: &str) -> String {
    let text = if text.is_empty() { "-" } else { text };
    text.to_owned()
}

fn write_table<const N: usize>(f: &mut fmt::Formatter<'_>, rows: &[[String; N]]) -> fmt::Result {
    let width = |column: usize| rows.iter().map(|row| row[column].len()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..N).map(width).collect();
    for row in rows {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            line.push_str(&format!("{cell:width$}  "));
        }
        writeln!(f, "{}", line.trim_end())?;
    }
    Ok(())
}
