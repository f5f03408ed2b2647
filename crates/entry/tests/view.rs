//! Copies of published items, and removals that expired leases cause.

use std::collections::BTreeMap;

use base::ClockTime;
use entry::{ItemChange, ItemMirror, LeaseGuard, PublishedItem};
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
        writes in prop::collection::vec((0_u8..6, any::<bool>(), 0_u8..4), 1..60),
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
                _ if sender.revision() == Some(revision - 1) => { sender.apply(revision, vec![change]); }
                _ => {}
            }
            let (Some(sent), Some(known), 1) = (sender.revision(), receiver.revision(), step) else {
                if step == 2 && receiver.revision().is_none() {
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

// Guards against dropping all targets when leases expired during an outage of the store.
#[test]
fn keeps_removed_targets_for_a_while_after_an_outage() {
    let mut guard = LeaseGuard::default();
    guard.on_store_lost();
    assert!(guard.on_store_regained(ClockTime::new(5_000)));
    let until = guard.keep_until(ClockTime::new(5_010), 1, 12).unwrap();
    assert_eq!(until, ClockTime::new(7_200));
    assert_eq!(guard.keep_until(ClockTime::new(7_300), 1, 12), None);
}

// Guards against using an engine that peers with access to the store report as removed.
#[test]
fn accepts_removals_while_the_store_is_lost() {
    let mut guard = LeaseGuard::default();
    guard.on_store_lost();
    assert_eq!(guard.keep_until(ClockTime::new(2_000), 2, 12), None);
}

// Guards against dropping targets with expired leases when only peers noticed the outage.
#[test]
fn uses_the_store_recovery_that_peers_report() {
    let mut guard = LeaseGuard::default();
    let age = base::TimeSpan::new(400);
    guard.on_peer_regained(ClockTime::new(5_400), age);
    assert!(guard.keep_until(ClockTime::new(5_500), 1, 12).is_some());
    assert_eq!(guard.regained_age(ClockTime::new(7_300)), None);
}

// Guards against an outage that no request noticed: more than half of the targets disappear at
// once.
#[test]
fn delays_mass_removals() {
    let guard = LeaseGuard::default();
    assert!(guard.keep_until(ClockTime::new(5_000), 7, 12).is_some());
    assert!(guard.keep_until(ClockTime::new(5_000), 2, 12).is_none());
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
