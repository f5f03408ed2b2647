//! Copies of published items, and removals that expired leases cause.

use std::collections::BTreeMap;

use base::{ClockTime, TimeSpan};
use entry::{AnswerReport, AnswerSpan, ItemChange, ItemMirror, LeaseGuard, PublishedItem};
use proptest::prelude::*;

fn item(key: &str, revision: u64) -> PublishedItem {
    PublishedItem {
        key: key.into(),
        revision,
        value: revision.to_le_bytes().to_vec(),
    }
}

// Guards against a delayed response of the store or of a peer that restores an older state.
#[test]
fn never_returns_to_an_older_revision() {
    let mut mirror = ItemMirror::default();
    assert!(mirror.replace(10, vec![item("a", 9)]));
    assert!(!mirror.replace(8, vec![item("a", 7)]));
    assert!(!mirror.apply(9, vec![ItemChange::Written(item("a", 8))]));
    let key = "a".into();
    assert!(!mirror.apply(10, vec![ItemChange::Removed { key, revision: 9 }]));
    assert_eq!(mirror.item("a"), Some(&item("a", 9)));
    assert_eq!(mirror.revision(), Some(10));
}

proptest! {
    // Guards against lost or repeated changes: overlapping batches of changes result in the newest
    // items.
    #[test]
    fn overlapping_batches_result_in_the_newest_items(
        writes in prop::collection::vec((0_u8..4, any::<bool>()), 1..40),
        cuts in prop::collection::vec((0_usize..40, 0_usize..40), 1..12),
    ) {
        let changes: Vec<_> = writes.iter().enumerate().map(|(at, (key, is_written))| {
            let (key, revision) = (key.to_string(), at as u64 + 1);
            match is_written {
                true => ItemChange::Written(item(&key, revision)),
                false => ItemChange::Removed { key: key.into(), revision },
            }
        }).collect();
        let mut mirror = ItemMirror::default();
        mirror.replace(0, Vec::new());
        for (start, end) in cuts {
            let known = mirror.revision().unwrap_or(0) as usize;
            let start = start.min(known).min(changes.len());
            let end = end.clamp(start, changes.len());
            mirror.apply(end as u64, changes[start..end].to_vec());
        }
        let known = mirror.revision().unwrap_or(0) as usize;
        let mut expected = BTreeMap::new();
        for change in &changes[..known.min(changes.len())] {
            match change {
                ItemChange::Written(item) => expected.insert(item.key.clone(), item.clone()),
                ItemChange::Removed { key, .. } => expected.remove(key),
            };
        }
        let expected: Vec<_> = expected.into_values().collect();
        prop_assert_eq!(mirror.items(), expected);
    }
}

proptest! {
    // Guards against a node that receives only changes and misses one or restores a removed target:
    // any sequence of full reads, changes and changes from a peer results in the state of the
    // sender.
    #[test]
    fn changes_from_a_peer_result_in_its_state(
        writes in prop::collection::vec((0_u8..6, any::<bool>(), 0_u8..5), 1..120),
    ) {
        let mut state = BTreeMap::new();
        let mut sender = ItemMirror::default();
        let mut receiver = ItemMirror::default();
        for (at, (key, is_written, step)) in writes.into_iter().enumerate() {
            let (key, revision) = (key.to_string(), at as u64 + 1);
            let change = match is_written {
                true => {
                    state.insert(key.clone(), item(&key, revision));
                    ItemChange::Written(item(&key, revision))
                }
                false => {
                    state.remove(&key);
                    ItemChange::Removed { key: key.into(), revision }
                }
            };
            let all: Vec<_> = state.values().cloned().collect();
            match step {
                0 => { sender.replace(revision, all.clone()); }
                // The sender does not read.
                3 => {}
                _ if sender.revision() == Some(revision - 1) => { sender.apply(revision, vec![change]); }
                _ => {}
            }
            let (Some(sent), Some(known), 1) = (sender.revision(), receiver.revision(), step) else {
                if step == 2 {
                    receiver.replace(revision, all);
                }
                continue;
            };
            if let Some(changes) = sender.changes_since(known) {
                receiver.apply(sent, changes);
                if known <= sent {
                    prop_assert_eq!(receiver.items(), sender.items());
                }
            }
        }
    }
}

// Guards against a target that some nodes go on using for good: its entry was added and removed while
// the node that reads for the others did not read, so that a list did not show its removal.
#[test]
fn a_list_does_not_hide_the_removal_of_an_item_that_was_never_read() {
    let mut reader = ItemMirror::default();
    reader.replace(60, vec![item("a", 50)]);
    let mut peer = reader.clone();
    peer.apply(85, vec![ItemChange::Written(item("b", 72))]);
    reader.replace(98, vec![item("a", 50)]);
    assert_eq!(reader.changes_since(85), None);
    // A copy as of the last read gets changes, though a later one can't use them.
    assert_eq!(reader.changes_since(60), Some(Vec::new()));
    assert!(reader.has_skipped_after(60));
    assert!(!reader.has_skipped_after(98));
}

/// Time at `millis`.
fn at(millis: u64) -> ClockTime {
    ClockTime::new(millis)
}

/// A guard that knows of answers of the store from 1 s on, every 0.6 s, until `until`.
fn answered_until(until: u64) -> LeaseGuard {
    let mut guard = LeaseGuard::default();
    for time in (1_000..=until).step_by(600) {
        assert_eq!(guard.on_store_answer(at(time)), None);
    }
    guard.on_store_answer(at(until));
    guard
}

// Guards against dropping all targets when leases expired during an outage of the store.
#[test]
fn keeps_removed_targets_for_a_while_after_an_outage() {
    let mut guard = answered_until(1_000);
    guard.on_store_failure(at(2_400));
    assert!(guard.is_store_lost());
    assert_eq!(
        guard.on_store_answer(at(5_000)),
        Some(TimeSpan::from_secs(4))
    );
    assert!(!guard.is_store_lost());
    let until = guard.keep_until(at(5_010), 1, 12).unwrap();
    assert_eq!(until, at(7_200));
    assert_eq!(guard.keep_until(at(7_300), 1, 12), None);
}

// Guards against an outage that went unnoticed because only one request failed in it, or none did: the
// response to a held request came late.
#[test]
fn notices_an_outage_without_failed_requests() {
    let mut guard = answered_until(2_000);
    guard.on_store_answer(at(4_400));
    assert_eq!(guard.keep_until(at(4_400), 1, 12), Some(at(6_600)));
}

// Guards against using an engine that peers with access to the store report as removed.
#[test]
fn accepts_removals_while_the_store_is_lost() {
    let mut guard = answered_until(1_000);
    guard.on_store_failure(at(1_900));
    assert_eq!(guard.keep_until(at(2_000), 2, 12), None);
}

// Guards against dropping targets with expired leases when only peers noticed the outage.
#[test]
fn uses_the_end_of_an_outage_that_peers_report() {
    let mut peer = answered_until(1_000);
    peer.on_store_answer(at(5_000));
    let mut guard = answered_until(1_200);
    let report = peer.report(at(5_400)).unwrap();
    // The clock of the node is 100 s ahead of that of its peer.
    let mut behind = LeaseGuard::default();
    behind.on_store_answer(at(101_200));
    assert!(behind.on_peer_report(at(105_400), report).is_some());
    assert_eq!(behind.keep_until(at(105_500), 1, 12), Some(at(107_200)));
    // A node that starts after the outage has nothing to compare it with, and learns of it too.
    let mut started = LeaseGuard::default();
    started.on_peer_report(at(5_400), report);
    assert!(started.keep_until(at(5_500), 1, 12).is_some());
    guard.on_peer_report(at(5_400), report);
    assert!(guard.keep_until(at(5_500), 1, 12).is_some());
    assert_eq!(guard.regained_age(at(7_300)), None);
}

// Guards against doubts about all removals because one node had lost its path to the store, was cut off
// from all, or was paused.
#[test]
fn a_peer_that_was_cut_off_reports_no_outage() {
    let mut cut = answered_until(1_000);
    cut.on_store_failure(at(2_400));
    cut.on_store_answer(at(6_500));
    let report = cut.report(at(6_500)).unwrap();
    assert!(report.lost_age.is_some());
    let mut guard = answered_until(6_400);
    assert_eq!(guard.on_peer_report(at(6_510), report), None);
    assert_eq!(guard.keep_until(at(6_520), 1, 12), None);
    // What others know refutes it on the node itself as well.
    cut.on_peer_report(at(6_600), guard.report(at(6_600)).unwrap());
    assert_eq!(cut.keep_until(at(6_610), 1, 12), None);
}

// Guards against a first answer that counts as the end of an outage, after another node has been
// reading the store for this one.
#[test]
fn answers_to_peers_end_an_outage() {
    let mut guard = answered_until(1_000);
    guard.on_store_failure(at(2_400));
    let mut reader = answered_until(1_000);
    for time in (5_000..=16_400).step_by(600) {
        reader.on_store_answer(at(time));
        guard.on_peer_report(at(time + 50), reader.report(at(time + 50)).unwrap());
    }
    assert!(!guard.is_store_lost());
    assert_eq!(guard.on_store_answer(at(17_500)), None);
    assert_eq!(guard.keep_until(at(17_510), 1, 12), None);
}

// Guards against an outage that nodes of the last build report and nobody else noticed, and against
// their report of one that this node knows to be none.
#[test]
fn judges_reports_of_the_last_build() {
    let report = AnswerReport::of_outage_end(TimeSpan::new(200));
    let mut idle = answered_until(1_000);
    assert!(idle.on_peer_report(at(5_200), report).is_some());
    assert!(idle.keep_until(at(5_200), 1, 12).is_some());
    let mut served = answered_until(5_000);
    assert_eq!(served.on_peer_report(at(5_200), report), None);
    assert_eq!(served.keep_until(at(5_200), 1, 12), None);
}

// Guards against an outage that no request noticed: more than half of the targets disappear at
// once.
#[test]
fn delays_mass_removals() {
    let guard = LeaseGuard::default();
    assert!(guard.keep_until(at(5_000), 7, 12).is_some());
    assert!(guard.keep_until(at(5_000), 2, 12).is_none());
}

// Guards against calls to targets that left 2 s ago: a node that learns late of a mass removal must not
// doubt it for the whole time from then on.
#[test]
fn a_mass_removal_is_doubted_from_when_it_happened() {
    let guard = LeaseGuard::default().with_listed_at(Some(at(4_300)));
    assert_eq!(guard.keep_until(at(5_000), 7, 12), Some(at(5_900)));
    assert_eq!(guard.keep_until(at(6_000), 7, 12), None);
}

proptest! {
    // Guards against nodes that disagree about an outage because they heard of its end in another order,
    // and against outages that never were, as some node had answers in that time.
    #[test]
    fn merged_spans_do_not_depend_on_order(
        parts in proptest::collection::vec((0_u64..20_000, 0_u64..6_000), 1..8),
        start in any::<prop::sample::Index>(),
    ) {
        let part = |(since, length): &(u64, u64)| {
            let times = (*since..=since + length).step_by(500);
            times.map(|time| AnswerSpan::at(at(time))).reduce(AnswerSpan::merge).unwrap()
        };
        let mut spans: Vec<_> = parts.iter().map(part).collect();
        let first = spans[start.index(spans.len())];
        // All nodes repeat what they know until nothing changes.
        let rounds = spans.len();
        let repeated = spans.iter().rev().cycle().take(rounds * rounds);
        let heard = repeated.fold(first, |known, span| known.merge(*span));
        spans.sort_by_key(AnswerSpan::since);
        let expected = spans.into_iter().reduce(AnswerSpan::merge).unwrap();
        prop_assert_eq!(heard.until(), expected.until());
        prop_assert_eq!(heard.follows_outage(), expected.follows_outage());
        if expected.follows_outage() {
            prop_assert_eq!(heard.since(), expected.since());
        }
    }

    // Guards against an outage that a node forgets because a peer that started in it reports its first
    // answer a little earlier.
    #[test]
    fn a_started_peer_refutes_no_outage(first in 4_000_u64..5_000, until in 5_000_u64..5_900) {
        let known = AnswerSpan::at(at(1_000)).merge(AnswerSpan::at(at(5_000)));
        let started = AnswerSpan::at(at(first)).merge(AnswerSpan::at(at(until)));
        prop_assert!(known.merge(started).follows_outage());
        prop_assert_eq!(known.merge(started).since(), at(first));
    }
}

// Guards against a target that a peer goes on using after its removal: it was removed while the pages
// of this copy were read, after the peer had read it.
#[test]
fn a_removal_during_the_read_reaches_peers() {
    let (mut copy, mut peer) = (ItemMirror::default(), ItemMirror::default());
    copy.replace(3, vec![item("a", 1), item("b", 2)]);
    peer.replace(6, vec![item("a", 1), item("b", 2)]);
    // The first page is read at revision 5; "b" is removed at 7, before its page is read.
    copy.replace(5, vec![item("a", 1)]);
    let removal = ItemChange::Removed {
        key: "b".into(),
        revision: 7,
    };
    copy.apply(8, vec![removal]);
    let changes = copy.changes_since(6).unwrap();
    peer.apply(8, changes);
    assert_eq!(peer.items(), [item("a", 1)]);
}
