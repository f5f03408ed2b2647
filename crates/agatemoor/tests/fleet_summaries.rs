//! Merging status pages into one verdict.

use agatemoor::{FleetSummary, NodeAnswer};
use base::{IncarnationNumber, RevisionNumber};
use node::{StatusPage, StatusRevision, StatusRow, StatusSubject, StatusTarget, TargetPhase};

type PageChange = fn(&mut StatusPage);

fn page(node: &str, index: u64) -> StatusPage {
    StatusPage {
        node: node.parse().unwrap(),
        domain: "patan".parse().unwrap(),
        incarnation: IncarnationNumber(1),
        ready: true,
        stopping: false,
        running: 0,
        view_state: "confirmed".to_owned(),
        revision: StatusRevision {
            accepted: Some(RevisionNumber::new(1, index)),
            basis: "platform".to_owned(),
            reader: true,
            platform_lost: false,
            platform_calls: 0,
            rejected: None,
            warnings: Vec::new(),
        },
        nodes: Vec::new(),
        domains: Vec::new(),
        targets: vec![StatusTarget {
            target: "e1".parse().unwrap(),
            phase: TargetPhase::Up,
            phase_age_ms: 10,
            loaded: Vec::new(),
        }],
        convergence: Vec::new(),
    }
}

fn row(converged: bool, reason: &str) -> StatusRow {
    StatusRow {
        domain: "patan".parse().unwrap(),
        subject: StatusSubject::Rollout("quill".into()),
        declared: "quill:3".to_owned(),
        actual: "quill:2".to_owned(),
        converged,
        reason: reason.to_owned(),
        since_ms: 1_500,
    }
}

fn merge(pages: Vec<StatusPage>) -> FleetSummary {
    let answer = |page| NodeAnswer {
        address: "127.0.0.1:1".parse().unwrap(),
        result: Ok(page),
    };
    FleetSummary::new(pages.into_iter().map(answer).collect())
}

/// Guards against a fleet in its declared state that is never called converged.
#[test]
fn settled_nodes_have_converged() {
    let summary = merge(vec![page("n2", 7), page("n1", 7)]);
    assert!(summary.converged, "{summary}");
    assert_eq!(summary.rows.len(), 1, "one row per target");
}

/// Guards against each condition of convergence being overlooked.
#[test]
fn each_condition_blocks() {
    let changes: [(&str, PageChange); 6] = [
        ("not ready", |page| page.ready = false),
        ("stopping", |page| page.stopping = true),
        ("revision 1.6", |page| {
            page.revision.accepted = Some(RevisionNumber::new(1, 6));
        }),
        ("no accepted revision", |page| page.revision.accepted = None),
        ("rejected revision 1.8", |page| {
            let mistakes = vec!["fleet.ini:1: a mistake".to_owned()];
            page.revision.rejected = Some((RevisionNumber::new(1, 8), mistakes));
        }),
        ("does not answer", |page| {
            page.targets[0].phase = TargetPhase::Down;
        }),
    ];
    for (reason, change) in changes {
        let mut changed = page("n1", 7);
        change(&mut changed);
        let summary = merge(vec![page("n2", 7), changed]);
        let text = summary.to_string();
        assert!(!summary.converged, "{reason}:\n{text}");
        assert!(text.contains(reason), "{reason}:\n{text}");
    }
}

/// Guards against a rejected revision that a newer accepted one has since replaced still blocking.
#[test]
fn replaced_rejection_does_not_block() {
    let mut replaced = page("n1", 7);
    replaced.revision.rejected = Some((RevisionNumber::new(1, 5), Vec::new()));
    assert!(merge(vec![replaced]).converged);
}

/// Guards against a node that does not answer being taken for a converged one.
#[test]
fn silent_node_blocks() {
    let silent = NodeAnswer {
        address: "127.0.0.1:9".parse().unwrap(),
        result: Err("refused".to_owned()),
    };
    let answered = NodeAnswer {
        address: "127.0.0.1:1".parse().unwrap(),
        result: Ok(page("n1", 7)),
    };
    let summary = FleetSummary::new(vec![answered, silent]);
    assert!(!summary.converged);
    assert!(summary.to_string().contains("127.0.0.1:9"));
}

/// Guards against convergence rows that are ignored once nodes report them.
#[test]
fn convergence_rows_replace_the_probes() {
    let mut blocked = page("n1", 7);
    blocked.convergence = vec![row(false, "the version failed on e1")];
    let mut settled = page("n2", 7);
    settled.convergence = vec![row(true, "")];
    let summary = merge(vec![settled.clone(), blocked]);
    assert!(!summary.converged);
    assert_eq!(summary.rows, [row(false, "the version failed on e1")]);
    let text = summary.to_string();
    assert!(text.contains("rollout quill: the version failed on e1 (for 1500ms)"));
    assert!(merge(vec![settled]).converged);
}

/// Guards against the row of an old revision hiding that of the newest one.
#[test]
fn newest_revision_counts() {
    let mut old = page("n1", 6);
    old.convergence = vec![row(false, "old")];
    let mut new = page("n2", 7);
    new.convergence = vec![row(true, "")];
    assert_eq!(merge(vec![old, new]).rows, [row(true, "")]);
}
