use std::fmt;

use base::TimeSpan;
use node::StatusPage;

use super::{FleetSummary, StatusSubject};
use crate::operator::{TextTable, replace_control_characters};

impl fmt::Display for FleetSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", node_table(self))?;
        writeln!(f)?;
        write!(f, "{}", row_table(self))?;
        writeln!(f)?;
        write!(f, "{}", peer_table(self))?;
        writeln!(f)?;
        for page in &self.pages {
            write_notes(f, page)?;
        }
        for domain in &self.missing_domains {
            writeln!(
                f,
                "note: no status of domain {domain}; add one of its nodes to --node"
            )?;
        }
        for reason in &self.blocked {
            writeln!(f, "blocked: {}", replace_control_characters(reason))?;
        }
        for row in self.rows.iter().filter(|row| !row.converged) {
            let (domain, subject) = (&row.domain, subject_text(&row.subject));
            let (reason, since) = (
                replace_control_characters(&row.reason),
                TimeSpan::new(row.since_ms),
            );
            writeln!(f, "blocked: {domain} {subject}: {reason} (for {since})")?;
        }
        writeln!(f, "converged: {}", yes_no(self.converged))
    }
}

fn node_table(summary: &FleetSummary) -> TextTable<9> {
    let header = [
        "DOMAIN", "NODE", "READY", "RUNNING", "REVISION", "BASIS", "READER", "PLATFORM", "VIEW",
    ];
    let mut table = TextTable::new(header);
    for page in &summary.pages {
        let revision = &page.revision;
        let accepted = revision.accepted.map(|number| number.to_string());
        let platform = match (revision.reader, revision.platform_lost) {
            (_, true) => "lost",
            (true, false) => "answers",
            (false, false) => "-",
        };
        table.push([
            page.domain.to_string(),
            page.node.to_string(),
            match page.stopping {
                true => "stopping".to_owned(),
                false => yes_no(page.ready).to_owned(),
            },
            page.running.to_string(),
            accepted.unwrap_or_default(),
            revision.basis.clone(),
            yes_no(revision.reader).to_owned(),
            platform.to_owned(),
            page.view_state.clone(),
        ]);
    }
    table
}

fn row_table(summary: &FleetSummary) -> TextTable<7> {
    let header = [
        "DOMAIN",
        "SUBJECT",
        "DECLARED",
        "ACTUAL",
        "CONVERGED",
        "SINCE",
        "BLOCKED BY",
    ];
    let mut table = TextTable::new(header);
    for row in &summary.rows {
        table.push([
            row.domain.to_string(),
            subject_text(&row.subject),
            row.declared.clone(),
            row.actual.clone(),
            yes_no(row.converged).to_owned(),
            TimeSpan::new(row.since_ms).to_string(),
            row.reason.clone(),
        ]);
    }
    table
}

fn peer_table(summary: &FleetSummary) -> TextTable<4> {
    let mut table = TextTable::new(["SEEN BY", "NODE", "STATE", "INCARNATION"]);
    for page in &summary.pages {
        for peer in &page.nodes {
            table.push([
                page.node.to_string(),
                peer.node.to_string(),
                peer.state.clone(),
                peer.incarnation.0.to_string(),
            ]);
        }
    }
    table
}

/// Writes the unreachable domains, warnings and rejected revision of one node.
fn write_notes(f: &mut fmt::Formatter<'_>, page: &StatusPage) -> fmt::Result {
    let node = &page.node;
    for (domain, reached) in &page.domains {
        if !reached {
            writeln!(f, "note: node {node} cannot reach domain {domain}")?;
        }
    }
    for warning in &page.revision.warnings {
        writeln!(
            f,
            "note: node {node}: {}",
            replace_control_characters(warning)
        )?;
    }
    if let Some((revision, mistakes)) = &page.revision.rejected {
        writeln!(f, "rejected at {node}: revision {revision}")?;
        for mistake in mistakes {
            writeln!(f, "  {}", replace_control_characters(mistake))?;
        }
    }
    Ok(())
}

fn subject_text(subject: &StatusSubject) -> String {
    match subject {
        StatusSubject::Target(target) => format!("target {target}"),
        StatusSubject::Rollout(rollout) => format!("rollout {rollout}"),
    }
}

fn yes_no(flag: bool) -> &'static str {
    if flag { "yes" } else { "no" }
}
