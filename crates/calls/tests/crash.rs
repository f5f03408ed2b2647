//! Tests that requests which crash their targets are isolated and refused, and harmless ones are
//! not.

use base::{ClockTime, IncarnationNumber, TargetName};
use calls::{CrashLimits, CrashMessage, CrashTable, CrashVerdict, RequestFingerprint, TargetDeath};

const NOW: ClockTime = ClockTime::ZERO;

fn fingerprint(number: u32) -> RequestFingerprint {
    RequestFingerprint::new("quill", &number.to_le_bytes())
}

fn target(number: u32) -> TargetName {
    format!("e{number}").parse().unwrap()
}

fn death(number: u32, run: u64) -> TargetDeath {
    TargetDeath {
        target: target(number),
        incarnation: IncarnationNumber(run),
    }
}

fn table() -> CrashTable {
    CrashTable::new(CrashLimits::default())
}

/// Places the given requests on a target, which then dies; returns the messages for peers.
fn crash(table: &mut CrashTable, at: u32, run: u64, fingerprints: &[u32]) -> Vec<CrashMessage> {
    for number in fingerprints {
        table.on_placed(NOW, fingerprint(*number), &target(at));
    }
    table.on_target_died(NOW, death(at, run))
}

fn is_refused(table: &CrashTable, number: u32) -> bool {
    matches!(
        table.verdict(NOW, fingerprint(number)),
        CrashVerdict::Refused { .. }
    )
}

/// Guards the other targets of the domain: after two deaths a request is refused, also by a peer
/// that saw neither of them.
#[test]
fn request_is_refused_here_and_at_peers_after_two_deaths() {
    let (mut table, mut peer) = (table(), table());
    for at in [1, 2] {
        assert!(!is_refused(&peer, 7));
        for message in crash(&mut table, at, 1, &[7]) {
            peer.on_message(NOW, message);
        }
    }
    assert!(is_refused(&table, 7) && is_refused(&peer, 7));
    let later = NOW + CrashLimits::default().retention;
    assert_eq!(
        peer.verdict(later, fingerprint(7)),
        CrashVerdict::Unrestricted,
        "marks expire"
    );
}

/// Guards against counting one death twice when several nodes report it.
#[test]
fn one_death_counts_once() {
    let mut table = table();
    let messages = crash(&mut table, 1, 1, &[7]);
    for message in messages.iter().chain(&messages) {
        table.on_message(NOW, message.clone());
    }
    assert_eq!(table.verdict(NOW, fingerprint(7)), CrashVerdict::Isolated);
    crash(&mut table, 1, 2, &[7]);
    assert!(
        is_refused(&table, 7),
        "another run of the target is another death"
    );
}

/// Guards harmless requests that ran beside a crashing one: once isolated from other marked
/// requests they complete, which removes the restriction.
#[test]
fn harmless_request_is_isolated_and_cleared() {
    let (mut table, mut peer) = (table(), table());
    let messages = crash(&mut table, 1, 1, &[7, 8]);
    messages
        .iter()
        .for_each(|message| peer.on_message(NOW, message.clone()));
    let placed = table.on_placed(NOW, fingerprint(7), &target(2)).unwrap();
    peer.on_message(NOW, placed);
    for view in [&table, &peer] {
        assert!(
            !view.allows(NOW, fingerprint(8), &target(2)),
            "not beside another marked request"
        );
        assert!(view.allows(NOW, fingerprint(8), &target(3)));
        assert!(
            view.allows(NOW, fingerprint(9), &target(2)),
            "unmarked requests run on any target"
        );
    }
    table.on_placed(NOW, fingerprint(8), &target(3));
    peer.on_message(NOW, table.on_completed(fingerprint(8)).unwrap());
    crash(&mut table, 2, 1, &[]);
    assert!(is_refused(&table, 7));
    for view in [&table, &peer] {
        assert_eq!(
            view.verdict(NOW, fingerprint(8)),
            CrashVerdict::Unrestricted
        );
    }
    messages
        .iter()
        .for_each(|message| peer.on_message(NOW, message.clone()));
    assert_eq!(
        peer.verdict(NOW, fingerprint(8)),
        CrashVerdict::Unrestricted,
        "a late copy of the message does not mark the request again"
    );
}

/// Guards against marks on requests that left a target before it died.
#[test]
fn request_that_left_is_not_marked() {
    let mut table = table();
    table.on_placed(NOW, fingerprint(7), &target(1));
    table.on_left(fingerprint(7), &target(1));
    assert_eq!(table.on_target_died(NOW, death(1, 1)), []);
    assert!(table.is_empty());
}

/// Guards against unbounded memory use by many marked requests.
#[test]
fn table_is_bounded() {
    let limits = CrashLimits {
        entries: 10,
        ..CrashLimits::default()
    };
    let mut table = CrashTable::new(limits);
    for number in 0..100 {
        let now = ClockTime::new(u64::from(number));
        table.on_placed(now, fingerprint(number), &target(1));
        table.on_target_died(now, death(1, u64::from(number)));
        assert!(table.len() <= 10);
    }
    let now = ClockTime::new(100);
    assert_eq!(table.verdict(now, fingerprint(99)), CrashVerdict::Isolated);
    assert_eq!(
        table.verdict(now, fingerprint(0)),
        CrashVerdict::Unrestricted
    );
}
