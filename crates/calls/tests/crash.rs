//! Guards targets against requests that crash them, and innocent requests against refusal.

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

/// Runs the fingerprints on a target until it dies.
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

/// Guards the rest of the domain: two deaths condemn a request, also at a peer that saw none.
#[test]
fn two_deaths_condemn_here_and_at_peers() {
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

/// Guards against counting one death twice when several nodes tell of it.
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

/// Guards innocent requests: alone among the marked they complete and are free again.
#[test]
fn innocent_request_is_isolated_and_cleared() {
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
            "not beside a marked one"
        );
        assert!(view.allows(NOW, fingerprint(8), &target(3)));
        assert!(
            view.allows(NOW, fingerprint(9), &target(2)),
            "unmarked ones run anywhere"
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
        "a late copy marks no more"
    );
}

/// Guards against marks on what left a target before it died.
#[test]
fn request_that_left_is_not_marked() {
    let mut table = table();
    table.on_placed(NOW, fingerprint(7), &target(1));
    table.on_left(fingerprint(7), &target(1));
    assert_eq!(table.on_target_died(NOW, death(1, 1)), []);
    assert!(table.is_empty());
}

/// Guards memory against a flood of marked requests.
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
