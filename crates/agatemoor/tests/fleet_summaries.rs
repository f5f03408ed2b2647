//! Merging the status pages of nodes into one summary of the fleet.

use agatemoor::{FleetSummary, NodeResponse, StatusSubject};
use base::{ClockTime, IncarnationNumber, RevisionNumber};
use node::{StatusPage, StatusRevision, StatusTarget, TargetPhase};
use orders::{BlockReason, ConvergenceReport, RolloutRow, RolloutState, TargetRow};

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
        convergence: ConvergenceReport::default(),
    }
}

fn target_row(index: u64, owned: bool, blocked: Option<BlockReason>) -> TargetRow {
    TargetRow {
        domain: "patan".parse().unwrap(),
        target: "e1".parse().unwrap(),
        revision: RevisionNumber::new(1, index),
        declared: "quill:3".into(),
        actual: "quill:2".into(),
        blocked,
        since: ClockTime::new(8_500),
        owned,
    }
}

fn report(target: TargetRow) -> ConvergenceReport {
    ConvergenceReport {
        now: ClockTime::new(10_000),
        targets: vec![target],
        ..ConvergenceReport::default()
    }
}

fn merge(pages: Vec<StatusPage>) -> FleetSummary {
    let answer = |page| NodeResponse {
        address: "127.0.0.1:1".parse().unwrap(),
        result: Ok(page),
    };
    FleetSummary::new(pages.into_iter().map(answer).collect())
}

/// Guards against a fleet in its declared state that is not reported as converged.
#[test]
fn settled_nodes_have_converged() {
    let summary = merge(vec![page("n2", 7), page("n1", 7)]);
    assert!(summary.converged, "{summary}");
    assert_eq!(summary.rows.len(), 1, "one row per target");
}

/// Guards against a condition of convergence that is not checked.
#[test]
fn each_condition_prevents_convergence() {
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

/// Guards against a rejected revision that still prevents convergence after a newer one was accepted.
#[test]
fn replaced_rejection_does_not_prevent_convergence() {
    let mut replaced = page("n1", 7);
    replaced.revision.rejected = Some((RevisionNumber::new(1, 5), Vec::new()));
    assert!(merge(vec![replaced]).converged);
}

/// Guards against reporting convergence to the old revision before the nodes know the new one.
#[test]
fn older_revision_does_not_count() {
    let at = RevisionNumber::new(1, 7);
    let mut summary = merge(vec![page("n1", 7)]);
    summary.require_after(at);
    assert!(!summary.converged);
    assert!(summary.to_string().contains("newer than 1.7"), "{summary}");
    let mut newer = merge(vec![page("n1", 8)]);
    newer.require_after(at);
    assert!(newer.converged);
}

/// Guards against counting a node that does not answer as converged.
#[test]
fn silent_node_prevents_convergence() {
    let silent = NodeResponse {
        address: "127.0.0.1:9".parse().unwrap(),
        result: Err("refused".to_owned()),
    };
    let answered = NodeResponse {
        address: "127.0.0.1:1".parse().unwrap(),
        result: Ok(page("n1", 7)),
    };
    let summary = FleetSummary::new(vec![answered, silent]);
    assert!(!summary.converged);
    assert!(summary.to_string().contains("127.0.0.1:9"));
}

/// Guards against ignoring the convergence report of the target's owner when every target answers
/// its probes.
#[test]
fn blocked_target_prevents_convergence() {
    let mut blocked = page("n1", 7);
    blocked.convergence = report(target_row(7, true, Some(BlockReason::Loading)));
    let mut other = page("n2", 7);
    other.convergence = report(target_row(7, false, None));
    let summary = merge(vec![other.clone(), blocked]);
    let reason = BlockReason::Loading.sentence();
    let text = summary.to_string();
    assert!(!summary.converged, "the owner of the target knows");
    assert_eq!(summary.rows.len(), 1, "one row per target");
    assert!(
        text.contains(&format!("target e1: {reason} (for 1500ms)")),
        "{text}"
    );
    assert!(merge(vec![other]).converged);
}

/// Guards against the row of an old revision being used instead of the row of the newest one.
#[test]
fn newest_revision_counts() {
    let mut old = page("n1", 7);
    old.convergence = report(target_row(6, true, Some(BlockReason::Loading)));
    let mut new = page("n2", 7);
    new.convergence = report(target_row(7, false, None));
    assert!(merge(vec![old, new]).converged);
}

/// Guards against reporting convergence while a target in its declared state is down.
#[test]
fn target_that_is_down_prevents_convergence() {
    let mut down = page("n1", 7);
    down.convergence = report(target_row(7, true, None));
    down.targets[0].phase = TargetPhase::Down;
    let summary = merge(vec![down]);
    assert!(!summary.converged);
    assert_eq!(summary.rows[0].reason, "The target does not answer.");
}

/// Guards against a halted rollout that is not reported with its reason.
#[test]
fn halted_rollout_prevents_convergence() {
    let state = RolloutState::Halted {
        reason: "e1: out of memory".into(),
        since: ClockTime::ZERO,
    };
    let mut halted = page("n1", 7);
    halted.convergence.rollouts.push(RolloutRow {
        domain: "patan".parse().unwrap(),
        rollout: "quill".into(),
        version: "3".parse().unwrap(),
        revision: RevisionNumber::new(1, 7),
        state,
        ready: 0,
        selected: 1,
        failed: 1,
        since: ClockTime::ZERO,
    });
    let summary = merge(vec![halted]);
    let rollout = StatusSubject::Rollout("quill".into());
    assert!(!summary.converged);
    assert!(summary.rows.iter().any(|row| row.subject == rollout));
    assert!(summary.to_string().contains("e1: out of memory"));
}
