use std::net::SocketAddr;

use base::{DomainName, RevisionNumber};
use node::{StatusPage, StatusRow, StatusSubject, StatusTarget, TargetPhase};
use serde::Serialize;

use crate::operator::NodeAnswer;

/// A named node that did not answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct SilentNode {
    /// Its operator address.
    pub address: SocketAddr,
    /// What went wrong.
    pub reason: String,
}

/// The merged status of the nodes that were asked.
///
/// ```
/// let summary = agatemoor::FleetSummary::new(Vec::new());
/// assert!(!summary.converged, "no node says that the fleet has converged");
/// ```
#[derive(Clone, Debug, Serialize)]
pub struct FleetSummary {
    /// Whether the fleet is in its declared state, as far as it was asked.
    pub converged: bool,
    /// Newest revision in effect at a node that answered.
    pub revision: Option<RevisionNumber>,
    /// What blocks convergence at the nodes, in words; targets and rollouts are in `rows`.
    pub blocked: Vec<String>,
    /// Targets and rollouts, sorted by domain and name.
    pub rows: Vec<StatusRow>,
    /// Domains of which no node was asked or answered.
    pub missing_domains: Vec<DomainName>,
    /// Nodes that did not answer.
    pub silent: Vec<SilentNode>,
    /// Pages of the nodes that answered, sorted by domain and name.
    pub pages: Vec<StatusPage>,
}

impl FleetSummary {
    /// Merges the answers of all nodes asked.
    pub fn new(answers: Vec<NodeAnswer<StatusPage>>) -> Self {
        let mut pages = Vec::new();
        let mut silent = Vec::new();
        for answer in answers {
            match answer.result {
                Ok(page) => pages.push(page),
                Err(reason) => silent.push(SilentNode {
                    address: answer.address,
                    reason,
                }),
            }
        }
        pages.sort_by(|a: &StatusPage, b| (&a.domain, &a.node).cmp(&(&b.domain, &b.node)));
        let revision = pages.iter().filter_map(|page| page.revision.accepted).max();
        let rows = merge_rows(&pages);
        let blocked = find_blocks(&pages, &silent, revision);
        let settled = blocked.is_empty() && rows.iter().all(|row| row.converged);
        Self {
            converged: !pages.is_empty() && settled,
            revision,
            blocked,
            rows,
            missing_domains: find_missing(&pages),
            silent,
            pages,
        }
    }
}

/// Per subject the row of the newest revision; at equal revisions one that has not converged.
fn merge_rows(pages: &[StatusPage]) -> Vec<StatusRow> {
    let mut ranked: Vec<(StatusRow, Option<RevisionNumber>)> = Vec::new();
    for page in pages {
        let revision = page.revision.accepted;
        ranked.extend(page_rows(page).into_iter().map(|row| (row, revision)));
    }
    ranked.sort_by(|(a, a_revision), (b, b_revision)| {
        let subject = (&a.domain, &a.subject).cmp(&(&b.domain, &b.subject));
        subject
            .then_with(|| b_revision.cmp(a_revision))
            .then_with(|| a.converged.cmp(&b.converged))
            .then_with(|| b.since_ms.cmp(&a.since_ms))
    });
    ranked.dedup_by(|(a, _), (b, _)| a.domain == b.domain && a.subject == b.subject);
    ranked.into_iter().map(|(row, _)| row).collect()
}

/// Rows of a page; a page without convergence rows counts a target that answers as converged.
fn page_rows(page: &StatusPage) -> Vec<StatusRow> {
    if !page.convergence.is_empty() {
        return page.convergence.clone();
    }
    let targets = page.targets.iter();
    targets.map(|target| probe_row(page, target)).collect()
}

fn probe_row(page: &StatusPage, target: &StatusTarget) -> StatusRow {
    let mut actual = target.phase.to_string();
    for version in &target.loaded {
        actual.push_str(&format!(" {}:{}", version.model, version.version));
    }
    let reason = match target.phase {
        TargetPhase::Up => "",
        TargetPhase::Unknown => "the target has not answered yet",
        TargetPhase::Leaving => "the target is leaving",
        TargetPhase::Down => "the target does not answer",
    };
    StatusRow {
        domain: page.domain.clone(),
        subject: StatusSubject::Target(target.target.clone()),
        declared: TargetPhase::Up.to_string(),
        actual,
        converged: target.phase == TargetPhase::Up,
        reason: reason.to_owned(),
        since_ms: target.phase_age_ms,
    }
}

fn find_blocks(
    pages: &[StatusPage],
    silent: &[SilentNode],
    newest: Option<RevisionNumber>,
) -> Vec<String> {
    let mut blocked = Vec::new();
    for SilentNode { address, reason } in silent {
        blocked.push(format!("node at {address} does not answer: {reason}"));
    }
    for page in pages {
        let node = &page.node;
        if page.stopping {
            blocked.push(format!("node {node} is stopping"));
        } else if !page.ready {
            blocked.push(format!("node {node} is not ready"));
        }
        match (page.revision.accepted, newest) {
            (None, _) => blocked.push(format!("node {node} has no accepted revision")),
            (Some(own), Some(newest)) if own < newest => {
                blocked.push(format!("node {node} has revision {own}, others {newest}"));
            }
            _ => {}
        }
        if let Some((rejected, mistakes)) = &page.revision.rejected
            && Some(*rejected) > page.revision.accepted
        {
            let count = mistakes.len();
            blocked.push(format!(
                "node {node} rejected revision {rejected} for {count} mistakes"
            ));
        }
    }
    blocked
}

fn find_missing(pages: &[StatusPage]) -> Vec<DomainName> {
    let known = pages.iter().flat_map(|page| &page.domains);
    let mut missing: Vec<DomainName> = known.map(|(domain, _)| domain.clone()).collect();
    missing.sort_unstable();
    missing.dedup();
    missing.retain(|domain| pages.iter().all(|page| page.domain != *domain));
    missing
}
