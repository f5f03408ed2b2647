//! Guards targets against requests that crash them, and innocent requests against refusal.

use base::{ClockTime, IncarnationNumber, TargetName};
use calls::{CrashLimits, CrashMessage, CrashPrint, CrashTable, CrashVerdict, TargetDeath};

const NOW: ClockTime = ClockTime::ZERO;

fn print(number: u32) -> CrashPrint {
    CrashPrint::new("quill", &number.to_le_bytes())
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

/// Runs the prints on a target until it dies.
fn crash(table: &mut CrashTable, at: u32, run: u64, prints: &[u32]) -> Vec<CrashMessage> {
    for number in prints {
        table.on_placed(NOW, print(*number), &target(at));
    }
    table.on_target_died(NOW, death(at, run))
}

fn condemned(table: &CrashTable, number: u32) -> bool {
    matches!(
        table.judge(NOW, print(number)),
        CrashVerdict::Condemned { .. }
    )
}

/// Guards the rest of the domain: two deaths condemn a request, also at a peer that saw none.
#[test]
fn two_deaths_condemn_here_and_at_peers() {
    let (mut table, mut peer) = (table(), table());
    for at in [1, 2] {
        assert!(!condemned(&peer, 7));
        for message in crash(&mut table, at, 1, &[7]) {
            peer.on_message(NOW, message);
        }
    }
    assert!(condemned(&table, 7) && condemned(&peer, 7));
    let later = NOW + CrashLimits::default().expiry;
    assert_eq!(
        peer.judge(later, print(7)),
        CrashVerdict::Free,
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
    assert_eq!(table.judge(NOW, print(7)), CrashVerdict::Isolated);
    crash(&mut table, 1, 2, &[7]);
    assert!(
        condemned(&table, 7),
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
    let placed = table.on_placed(NOW, print(7), &target(2)).unwrap();
    peer.on_message(NOW, placed);
    for view in [&table, &peer] {
        assert!(
            !view.allows(NOW, print(8), &target(2)),
            "not beside a marked one"
        );
        assert!(view.allows(NOW, print(8), &target(3)));
        assert!(
            view.allows(NOW, print(9), &target(2)),
            "unmarked ones run anywhere"
        );
    }
    table.on_placed(NOW, print(8), &target(3));
    peer.on_message(NOW, table.on_completed(print(8)).unwrap());
    crash(&mut table, 2, 1, &[]);
    assert!(condemned(&table, 7));
    for view in [&table, &peer] {
        assert_eq!(view.judge(NOW, print(8)), CrashVerdict::Free);
    }
    messages
        .iter()
        .for_each(|message| peer.on_message(NOW, message.clone()));
    assert_eq!(
        peer.judge(NOW, print(8)),
        CrashVerdict::Free,
        "a late copy marks no more"
    );
}

/// Guards against marks on what left a target before it died.
#[test]
fn request_that_left_is_not_marked() {
    let mut table = table();
    table.on_placed(NOW, print(7), &target(1));
    table.on_left(print(7), &target(1));
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
        table.on_placed(now, print(number), &target(1));
        table.on_target_died(now, death(1, u64::from(number)));
        assert!(table.len() <= 10);
    }
    let now = ClockTime::new(100);
    assert_eq!(table.judge(now, print(99)), CrashVerdict::Isolated);
    assert_eq!(table.judge(now, print(0)), CrashVerdict::Free);
}
