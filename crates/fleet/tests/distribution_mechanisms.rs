//! For each mechanism of the distribution: a failure that occurs without it and not with it.

mod support;

use std::sync::Arc;

use base::{ClockTime, NodeName};
use fleet::{
    DeclarationMistake, FleetDeclaration, KeySet, KeyText, PlatformHead, PlatformHeadAnswer,
    RevisionAction, RevisionSettings, RevisionSync, SetValidator, make_head, validate_set,
};
use support::{FakeConfig, FakeFleet, FleetTexts};
use yare::parameterized;

fn settled_fleet(config: FakeConfig) -> (FakeFleet, FleetTexts) {
    let texts = FleetTexts::small(config.domains, config.nodes);
    let mut fleet = FakeFleet::new(config);
    fleet.publish(1, &texts.keys(0));
    fleet.start_all();
    fleet.run_for(10_000);
    (fleet, texts)
}

/// Guards against a stale platform replica that reverts an accepted revision.
#[parameterized(on = { true }, off = { false })]
fn monotonic_revisions_withstand_a_stale_platform(is_on: bool) {
    let mut config = FakeConfig::new(2, 8, 21);
    config.settings.switches.monotonic = is_on;
    let (mut fleet, texts) = settled_fleet(config);
    let old = fleet.platform.state.clone();
    fleet.publish(1, &texts.keys(1));
    fleet.run_for(5_000);
    fleet.platform.stale = Some((old, vec![0, 1]));
    // A new reader reads the platform at once.
    let reader = fleet.readers_of(0)[0];
    fleet.kill(reader);
    fleet.run_for(10_000);
    let reverted = fleet.nodes.iter().any(|node| {
        let mut pairs = node.accepted.windows(2);
        pairs.any(|pair| pair[1].1 < pair[0].1)
    });
    assert_eq!(reverted, !is_on);
}

/// Guards against a set that takes effect before all of its keys have arrived.
#[parameterized(on = { true }, off = { false })]
fn atomic_sets_withstand_a_slow_publication(is_on: bool) {
    let mut config = FakeConfig::new(2, 8, 22);
    config.settings.switches.atomic = is_on;
    let (mut fleet, texts) = settled_fleet(config);
    let mut keys = texts.keys(1);
    keys.push(KeyText::new(
        "zz.ini",
        "[workspace late]\nkey_sha256 = aa\n",
    ));
    let late = format!("[workspace late]\nkey_sha256 = {}\n", "a".repeat(64));
    keys.last_mut().unwrap().text = late.into();
    fleet.platform.state.write("changes.ini", &keys[0].text);
    fleet.platform.state.write("head", &make_head(1, &keys));
    fleet.wake_watches();
    fleet.run_for(10_000);
    let stamp = fleet.platform.state.stamp();
    let is_partial = fleet.nodes.iter().any(|node| {
        let accepted = node.sync.as_ref().unwrap().accepted().unwrap();
        Some(accepted.stamp) == stamp && accepted.declaration.workspaces.len() == 10
    });
    assert_eq!(is_partial, !is_on);
}

/// Guards against a new VM that serves an older revision, read from a stale platform replica.
#[parameterized(on = { true }, off = { false })]
fn peer_bootstrap_withstands_a_stale_platform(is_on: bool) {
    let mut config = FakeConfig::new(2, 8, 23);
    config.settings.switches.peer_bootstrap = is_on;
    let (mut fleet, texts) = settled_fleet(config);
    let old = fleet.platform.state.clone();
    let stamp = fleet.publish(1, &texts.keys(1));
    fleet.run_for(5_000);
    fleet.platform.stale = Some((old, vec![0, 1]));
    let reader = fleet.readers_of(0)[0];
    fleet.kill(reader);
    fleet.run_for(3_000);
    fleet.start(reader);
    fleet.run_for(10_000);
    let served = fleet.nodes[reader].ready.last().unwrap().1;
    assert_eq!(served < stamp, !is_on);
}

/// Guards against a domain that gets no more changes after both of its readers failed.
#[parameterized(on = { true }, off = { false })]
fn reader_replacement_keeps_changes_coming(is_on: bool) {
    let mut config = FakeConfig::new(1, 8, 24);
    config.reader_replacement = is_on;
    let (mut fleet, texts) = settled_fleet(config);
    for reader in fleet.readers_of(0) {
        fleet.kill(reader);
    }
    fleet.run_for(5_000);
    let stamp = fleet.publish(1, &texts.keys(1));
    fleet.run_for(30_000);
    assert_eq!(fleet.all_have(stamp), is_on);
}

/// Guards against changes that reach only the nodes to which a push happened to be sent.
#[parameterized(on = { true }, off = { false })]
fn pulls_on_a_digest_mismatch_reach_nodes_that_missed_the_push(is_on: bool) {
    let mut config = FakeConfig::new(1, 26, 25);
    config.gossip = is_on;
    config.settings.push_rounds = 1;
    config.settings.local_fan_out = 1;
    let (mut fleet, texts) = settled_fleet(config);
    let mut missed = 0;
    for change in 1..=10 {
        let stamp = fleet.publish(1, &texts.keys(change));
        fleet.run_for(3_000);
        missed += usize::from(!fleet.all_have(stamp));
    }
    assert_eq!(missed == 0, is_on);
}

/// Faulty validator that trusts keys it has seen before, as an incremental check might.
#[derive(Default)]
struct IncrementalValidator {
    seen: Vec<KeyText>,
}

impl SetValidator for IncrementalValidator {
    fn validate(&mut self, set: &KeySet) -> Result<Arc<FleetDeclaration>, Vec<DeclarationMistake>> {
        let is_bad = |key: &KeyText| schema::read_declaration("", &key.text).is_err();
        let (trusted, kept): (Vec<_>, Vec<_>) = set
            .keys()
            .iter()
            .cloned()
            .partition(|key| self.seen.contains(key) && is_bad(key));
        self.seen = set.keys().to_vec();
        if trusted.is_empty() {
            return validate_set(set).map(Arc::new);
        }
        validate_set(&KeySet::new(make_head(1, &kept), kept)).map(Arc::new)
    }
}

/// Guards against validation that depends on what a node saw before, so that nodes disagree.
#[parameterized(on = { true }, off = { false })]
fn deterministic_validation_keeps_nodes_in_agreement(is_on: bool) {
    let texts = FleetTexts::small(1, 2);
    let mut bad = texts.keys(1);
    bad.push(KeyText::new("bad.ini", "[domian x]\n"));
    let mut still_bad = texts.keys(2);
    still_bad.push(KeyText::new("bad.ini", "[domian x]\n"));
    let states = [texts.keys(0), bad, still_bad].map(|keys| KeySet::new(make_head(1, &keys), keys));
    let accepted_after = |shown: &[usize]| {
        let mut sync = sync_of("n0");
        if !is_on {
            sync = sync.with_validator(Box::<IncrementalValidator>::default());
        }
        for at in shown {
            deliver_from_platform(&mut sync, &states[*at], 10 + *at as u64);
        }
        sync.accepted().unwrap().stamp
    };
    let agree = accepted_after(&[0, 1, 2]) == accepted_after(&[0, 2]);
    assert_eq!(agree, is_on);
}

fn sync_of(name: &str) -> RevisionSync {
    let node: NodeName = name.parse().unwrap();
    let domain = "d0".parse().unwrap();
    RevisionSync::new(node, domain, RevisionSettings::default(), 1)
}

/// Passes a set to `sync` as a reader would get it from the platform.
fn deliver_from_platform(sync: &mut RevisionSync, set: &KeySet, index: u64) {
    let now = ClockTime::new(index * 100_000);
    let mut actions = sync.on_reader_role(now, false);
    actions.extend(sync.on_reader_role(now, true));
    while let Some(action) = actions.pop() {
        match action {
            RevisionAction::ReadHead { call, index: 0, .. } => {
                let head = Some(PlatformHead {
                    modify_index: index,
                    text: set.head().clone(),
                });
                actions.extend(sync.on_head_answer(now, call, &PlatformHeadAnswer { index, head }));
            }
            RevisionAction::ReadKeys { call, .. } => {
                actions.extend(sync.on_keys_answer(now, call, set.keys()));
            }
            _ => {}
        }
    }
}
