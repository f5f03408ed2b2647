//! Copies of published items, and removals that expired leases cause.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use base::{ClockTime, TimeSpan};
use entry::{
    AnswerSpan, HistoryRules, ItemChange, ItemMirror, LeaseGuard, PublishedItem, StoreEra,
    StorePosition,
};
use proptest::prelude::*;
use proptest::test_runner::TestCaseError;

use HistoryStep::{Copied, Hear, List, Remove, Restore, Watch, Write};

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

/// Orders items by the first byte of their value.
struct ByteRules;

impl HistoryRules for ByteRules {
    fn compare(&self, listed: &PublishedItem, known: &PublishedItem) -> Option<Ordering> {
        Some(listed.value.first()?.cmp(known.value.first()?))
    }

    fn keeps_absent(&self, known: &PublishedItem) -> bool {
        known.key.starts_with("config")
    }

    fn keep_until(&self) -> Option<ClockTime> {
        Some(at(10_000))
    }
}

fn valued(key: &str, revision: u64, value: u8) -> PublishedItem {
    PublishedItem {
        key: key.into(),
        revision,
        value: vec![value],
    }
}

fn values(mirror: &ItemMirror) -> Vec<(&str, u8)> {
    let items = mirror.items().iter();
    items
        .map(|item| (item.key.as_str(), item.value[0]))
        .collect()
}

fn second_era(revision: u64) -> StorePosition {
    StorePosition::new(StoreEra(2), revision)
}

// Guards against a copy that is deaf until the revisions of a store that came back older have passed the one
// that it knew, and against one that takes older content from it.
#[test]
fn a_copy_of_a_new_era_takes_only_what_is_newer() {
    let mut mirror = ItemMirror::default();
    let before = [("a", 5), ("b", 5), ("config", 3), ("d", 4), ("gone", 5)];
    let items = before.map(|(key, value)| valued(key, 400, value)).to_vec();
    mirror.replace(StorePosition::new(StoreEra(1), 493), items);
    let removed = ItemChange::Removed {
        key: "gone".into(),
        revision: 494,
    };
    mirror.apply(StorePosition::new(StoreEra(1), 494), vec![removed]);
    let listed = [("a", 6), ("b", 4), ("e", 1), ("gone", 5)];
    let list = listed.map(|(key, value)| valued(key, 419, value)).to_vec();
    assert!(!mirror.replace_history(
        StorePosition::new(StoreEra(1), 900),
        list.clone(),
        &ByteRules
    ));
    assert!(mirror.replace_history(second_era(419), list, &ByteRules));
    // "b" and "gone" are older than what is known; "config" stays, "d" is left to the caller.
    assert_eq!(
        values(&mirror),
        [("a", 6), ("b", 5), ("config", 3), ("e", 1)]
    );
    assert_eq!(mirror.position(), Some(second_era(419)));
    // Copies of the earlier era get the whole list, and their changes mean nothing here.
    assert_eq!(
        mirror.changes_since(StorePosition::new(StoreEra(1), 493)),
        None
    );
    let late = ItemChange::Written(valued("a", 500, 9));
    assert!(!mirror.apply(StorePosition::new(StoreEra(1), 500), vec![late]));
    // What is written again counts, whatever it is.
    let again = ItemChange::Written(valued("gone", 420, 7));
    assert!(mirror.apply(second_era(420), vec![again]));
    assert_eq!(mirror.kept().len(), 1);
    assert!(!mirror.expire_kept(at(9_999)));
    assert!(mirror.expire_kept(at(10_000)));
    let expected = [("a", 6), ("b", 4), ("config", 3), ("e", 1), ("gone", 7)];
    assert_eq!(values(&mirror), expected);
}

// Guards against a second drill after which the copy takes back what was held against the first one.
#[test]
fn removals_hold_over_two_drills() {
    let mut mirror = ItemMirror::default();
    mirror.replace(9, vec![valued("gone", 5, 5)]);
    let removed = ItemChange::Removed {
        key: "gone".into(),
        revision: 10,
    };
    mirror.apply(10, vec![removed]);
    for era in 1..=3 {
        let position = StorePosition::new(StoreEra(era), 7);
        assert!(mirror.replace_history(position, vec![valued("gone", 5, 5)], &ByteRules));
        assert_eq!(values(&mirror), []);
    }
}

// Guards against a configuration that a node which started from an older copy does not take over from its peers.
#[test]
fn newer_content_of_an_older_copy_is_adopted() {
    let mut mirror = ItemMirror::default();
    mirror.replace(
        second_era(50),
        vec![valued("config", 4, 2), valued("a", 4, 2)],
    );
    let theirs = vec![
        valued("config", 90, 3),
        valued("a", 90, 1),
        valued("b", 90, 1),
    ];
    assert!(mirror.adopt_newer(theirs.clone(), &ByteRules));
    assert_eq!(values(&mirror), [("a", 2), ("config", 3)]);
    assert!(!mirror.adopt_newer(theirs, &ByteRules));
}

/// One step of a random history of a store with drills.
#[derive(Clone, Copy, Debug)]
enum HistoryStep {
    Write(u8),
    Remove(u8),
    Copied,
    Restore,
    /// A node reads the whole list.
    List(usize),
    /// A node reads changes.
    Watch(usize),
    /// A node takes over the copy of another one, or what changed in it.
    Hear(usize, usize),
}

fn history_step() -> impl Strategy<Value = HistoryStep> {
    let node = 0_usize..3;
    prop_oneof![
        4 => (0_u8..5).prop_map(Write),
        2 => (0_u8..5).prop_map(Remove),
        1 => Just(Copied),
        1 => Just(Restore),
        2 => node.clone().prop_map(List),
        4 => node.clone().prop_map(Watch),
        3 => (node.clone(), node).prop_map(|(to, from)| Hear(to, from)),
    ]
}

/// A store that can come back from a copy.
#[derive(Clone, Debug, Default)]
struct ModelStore {
    era: u64,
    revision: u64,
    items: BTreeMap<String, PublishedItem>,
    changes: Vec<ItemChange>,
}

impl ModelStore {
    fn position(&self) -> StorePosition {
        StorePosition::new(StoreEra(self.era), self.revision)
    }

    fn write(&mut self, key: &str, value: u8) {
        self.revision += 1;
        let item = valued(key, self.revision, value);
        self.items.insert(key.to_owned(), item.clone());
        self.changes.push(ItemChange::Written(item));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let (key, revision) = (key.into(), self.revision);
            self.changes.push(ItemChange::Removed { key, revision });
        }
    }

    fn list(&self) -> Vec<PublishedItem> {
        self.items.values().cloned().collect()
    }
}

fn read_list(mirror: &mut ItemMirror, position: StorePosition, items: Vec<PublishedItem>) {
    match mirror.precedes_era_of(position) {
        true => mirror.replace_history(position, items, &ByteRules),
        false => mirror.replace(position, items),
    };
}

/// Takes some steps, checks that no node goes back to older content by what another one tells, and that
/// nodes agree with the store once writers have written again what was lost.
fn check_history(steps: impl IntoIterator<Item = HistoryStep>) -> Result<(), TestCaseError> {
    let mut store = ModelStore {
        revision: 1,
        ..ModelStore::default()
    };
    let mut copy = store.clone();
    let mut nodes: [ItemMirror; 3] = Default::default();
    let mut newest: u8 = 0;
    let mut intended: BTreeMap<String, u8> = BTreeMap::new();
    for step in steps {
        match step {
            Write(key) if newest < 250 => {
                newest += 1;
                store.write(&key.to_string(), newest);
                intended.insert(key.to_string(), newest);
            }
            Write(_) => {}
            Remove(key) => {
                store.remove(&key.to_string());
                intended.remove(&key.to_string());
            }
            Copied => copy = store.clone(),
            Restore => {
                let era = store.era + 1;
                store = ModelStore {
                    era,
                    ..copy.clone()
                };
            }
            List(node) => {
                read_list(&mut nodes[node], store.position(), store.list());
            }
            Watch(node) => {
                let Some(known) = nodes[node].position() else {
                    continue;
                };
                if known.era.0 == store.era && known.revision >= copy.revision.min(store.revision) {
                    let after = store.changes.iter();
                    let after = after.filter(|one| one.revision() > known.revision);
                    nodes[node].apply(store.position(), after.cloned().collect());
                } else {
                    read_list(&mut nodes[node], store.position(), store.list());
                }
            }
            Hear(to, from) => {
                let theirs = nodes[from].clone();
                let (Some(position), known) = (theirs.position(), nodes[to].position()) else {
                    continue;
                };
                let known_values: BTreeMap<_, _> = values(&nodes[to])
                    .into_iter()
                    .map(|(key, value)| (key.to_owned(), value))
                    .collect();
                match known.and_then(|known| theirs.changes_since(known)) {
                    Some(changes) => {
                        nodes[to].apply(position, changes);
                    }
                    None => read_list(&mut nodes[to], position, theirs.items().to_vec()),
                }
                for (key, value) in values(&nodes[to]) {
                    prop_assert!(known_values.get(key).is_none_or(|known| *known <= value));
                }
            }
        }
    }
    // Writers write again what was lost, and a node that reads all of it agrees with the store.
    for key in store.items.keys().cloned().collect::<Vec<_>>() {
        if !intended.contains_key(&key) {
            store.remove(&key);
        }
    }
    for key in intended.keys() {
        newest = newest.saturating_add(1);
        store.write(key, newest);
    }
    for node in &mut nodes {
        read_list(node, store.position(), store.list());
        node.expire_kept(at(10_000));
        let expected = store.list();
        let found: Vec<_> = node
            .items()
            .iter()
            .map(|item| (&item.key, &item.value))
            .collect();
        let wanted: Vec<_> = expected
            .iter()
            .map(|item| (&item.key, &item.value))
            .collect();
        prop_assert_eq!(found, wanted);
    }
    Ok(())
}

proptest! {
    // Guards against copies that hold a mixture of two histories, or go back to older content, when drills,
    // reads and what nodes tell one another come in any order.
    #[test]
    fn copies_agree_with_the_store_after_drills(
        steps in proptest::collection::vec(history_step(), 1..150),
    ) {
        check_history(steps)?;
    }
}

// The same with histories that failed once: a later list of the era, content that two nodes hold back
// differently, and an item that one list lacked and the next one had again.
#[yare::parameterized(
    later_list = { &[Write(4), Copied, Write(4), List(0), Restore, List(0)] },
    held_differently = {
        &[Write(4), Copied, Write(4), List(2), Write(4), List(0), Restore, List(0), Write(0), List(2), Hear(0, 2)]
    },
    absent_between = {
        &[
            Write(1), Copied, Write(1), List(0), Hear(2, 0), Restore, Remove(1), List(0), Restore, Watch(2),
            Hear(1, 2), Write(2), Watch(0), Hear(1, 0),
        ]
    },
)]
fn copies_agree_after_known_histories(steps: &[HistoryStep]) {
    check_history(steps.iter().copied()).unwrap();
}

/// Time at `millis`.
fn at(millis: u64) -> ClockTime {
    ClockTime::new(millis)
}

/// Merges two spans with the gap of the usual leases.
fn merge(left: AnswerSpan, right: AnswerSpan) -> AnswerSpan {
    left.merge(right, TimeSpan::from_secs(2))
}

// Guards against outages that no lease outlasts and nobody notices, and against outages that are none, where
// leases are renewed less often.
#[test]
fn an_outage_is_as_long_as_leases_allow() {
    let after = |interval, gap: u64| {
        let mut guard = LeaseGuard::new(TimeSpan::new(interval));
        guard.on_store_answer(at(10_000));
        guard.on_store_answer(at(10_000 + gap)).is_some()
    };
    assert_eq!((after(1_200, 1_999), after(1_200, 2_000)), (false, true));
    assert_eq!((after(3_000, 4_999), after(3_000, 5_000)), (false, true));
    // Nodes take this long to notice that others stopped reading.
    assert_eq!((after(300, 1_599), after(300, 1_600)), (false, true));
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
    let age = TimeSpan::new(200);
    let mut idle = answered_until(1_000);
    assert!(idle.on_outage_end(at(5_200), age).is_some());
    assert!(idle.keep_until(at(5_200), 1, 12).is_some());
    let mut served = answered_until(5_000);
    assert_eq!(served.on_outage_end(at(5_200), age), None);
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
            times.map(|time| AnswerSpan::at(at(time))).reduce(merge).unwrap()
        };
        let mut spans: Vec<_> = parts.iter().map(part).collect();
        let first = spans[start.index(spans.len())];
        // All nodes repeat what they know until nothing changes.
        let rounds = spans.len();
        let repeated = spans.iter().rev().cycle().take(rounds * rounds);
        let heard = repeated.fold(first, |known, span| merge(known, *span));
        spans.sort_by_key(AnswerSpan::since);
        let expected = spans.into_iter().reduce(merge).unwrap();
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
        let known = merge(AnswerSpan::at(at(1_000)), AnswerSpan::at(at(5_000)));
        let started = merge(AnswerSpan::at(at(first)), AnswerSpan::at(at(until)));
        prop_assert!(merge(known, started).follows_outage());
        prop_assert_eq!(merge(known, started).since(), at(first));
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
