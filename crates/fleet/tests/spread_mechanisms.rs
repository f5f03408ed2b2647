//! Each mechanism of the distribution: what goes wrong without it, and that it does not with it.

mod support;

use std::sync::Arc;

use base::{ClockTime, NodeName};
use fleet::{
    DeclarationMistake, FleetDeclaration, KeySet, KeyText, PlatformHead, PlatformHeadAnswer,
    RevisionAction, RevisionSettings, RevisionView, SetAcceptance, accept, make_head,
};
use support::{FakeConfig, FakeFleet, FleetTexts};
use yare::parameterized;

fn settled(config: FakeConfig) -> (FakeFleet, FleetTexts) {
    let texts = FleetTexts::small(config.domains, config.nodes);
    let mut fleet = FakeFleet::new(config);
    fleet.publish(1, &texts.keys(0));
    fleet.start_all();
    fleet.run_for(10_000);
    (fleet, texts)
}

/// Guards against an accepted revision that a stale platform replica reverts.
#[parameterized(on = { true }, off = { false })]
fn monotonic_revisions_withstand_a_stale_platform(is_on: bool) {
    let mut config = FakeConfig::new(2, 8, 21);
    config.settings.switches.monotonic = is_on;
    let (mut fleet, texts) = settled(config);
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

/// Guards against a set whose keys take effect before all of them are there.
#[parameterized(on = { true }, off = { false })]
fn atomic_sets_withstand_a_slow_publication(is_on: bool) {
    let mut config = FakeConfig::new(2, 8, 22);
    config.settings.switches.atomic = is_on;
    let (mut fleet, texts) = settled(config);
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
    let in_part = fleet.nodes.iter().any(|node| {
        let accepted = node.view.as_ref().unwrap().accepted().unwrap();
        Some(accepted.stamp) == stamp && accepted.declaration.workspaces.len() == 10
    });
    assert_eq!(in_part, !is_on);
}

/// Guards against a new VM that serves an older revision which only the platform still has.
#[parameterized(on = { true }, off = { false })]
fn peer_bootstrap_withstands_a_stale_platform(is_on: bool) {
    let mut config = FakeConfig::new(2, 8, 23);
    config.settings.switches.peer_bootstrap = is_on;
    let (mut fleet, texts) = settled(config);
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

/// Guards against a domain whose readers both failed and which no change reaches any more.
#[parameterized(on = { true }, off = { false })]
fn reader_replacement_keeps_changes_coming(is_on: bool) {
    let mut config = FakeConfig::new(1, 8, 24);
    config.reader_replacement = is_on;
    let (mut fleet, texts) = settled(config);
    for reader in fleet.readers_of(0) {
        fleet.kill(reader);
    }
    fleet.run_for(5_000);
    let stamp = fleet.publish(1, &texts.keys(1));
    fleet.run_for(30_000);
    assert_eq!(fleet.all_have(stamp), is_on);
}

/// Guards against changes that reach only those whom a push happened to reach.
#[parameterized(on = { true }, off = { false })]
fn pulls_on_a_digest_mismatch_reach_who_missed_the_push(is_on: bool) {
    let mut config = FakeConfig::new(1, 26, 25);
    config.gossip = is_on;
    config.settings.push_rounds = 1;
    config.settings.fan_out = 1;
    let (mut fleet, texts) = settled(config);
    let mut missed = 0;
    for change in 1..=10 {
        let stamp = fleet.publish(1, &texts.keys(change));
        fleet.run_for(3_000);
        missed += usize::from(!fleet.all_have(stamp));
    }
    assert_eq!(missed == 0, is_on);
}

/// A verdict that checks only the keys it has not seen, as an incremental check might.
#[derive(Default)]
struct SeenAcceptance {
    seen: Vec<KeyText>,
}

impl SetAcceptance for SeenAcceptance {
    fn judge(&mut self, set: &KeySet) -> Result<Arc<FleetDeclaration>, Vec<DeclarationMistake>> {
        let is_bad = |key: &KeyText| schema::read_declaration("", &key.text).is_err();
        let (trusted, kept): (Vec<_>, Vec<_>) = set
            .keys()
            .iter()
            .cloned()
            .partition(|key| self.seen.contains(key) && is_bad(key));
        self.seen = set.keys().to_vec();
        if trusted.is_empty() {
            return accept(set).map(Arc::new);
        }
        accept(&KeySet::new(make_head(1, &kept), kept)).map(Arc::new)
    }
}

/// Guards against a verdict that depends on what a node saw before: nodes would disagree.
#[parameterized(on = { true }, off = { false })]
fn deterministic_acceptance_keeps_nodes_in_agreement(is_on: bool) {
    let texts = FleetTexts::small(1, 2);
    let mut bad = texts.keys(1);
    bad.push(KeyText::new("bad.ini", "[domian x]\n"));
    let mut still_bad = texts.keys(2);
    still_bad.push(KeyText::new("bad.ini", "[domian x]\n"));
    let states = [texts.keys(0), bad, still_bad].map(|keys| KeySet::new(make_head(1, &keys), keys));
    let verdict = |shown: &[usize]| {
        let mut view = view_of("n0");
        if !is_on {
            view = view.with_acceptance(Box::<SeenAcceptance>::default());
        }
        for at in shown {
            show(&mut view, &states[*at], 10 + *at as u64);
        }
        view.accepted().unwrap().stamp
    };
    let agree = verdict(&[0, 1, 2]) == verdict(&[0, 2]);
    assert_eq!(agree, is_on);
}

fn view_of(name: &str) -> RevisionView {
    let node: NodeName = name.parse().unwrap();
    let domain = "d0".parse().unwrap();
    RevisionView::new(node, domain, RevisionSettings::default(), 1)
}

/// Shows a set to a view as the platform would.
fn show(view: &mut RevisionView, set: &KeySet, index: u64) {
    let now = ClockTime::new(index * 100_000);
    let mut actions = view.on_reader(now, false);
    actions.extend(view.on_reader(now, true));
    while let Some(action) = actions.pop() {
        match action {
            RevisionAction::ReadHead { call, index: 0 } => {
                let head = Some(PlatformHead {
                    modify_index: index,
                    text: set.head().clone(),
                });
                actions.extend(view.on_head(now, call, &PlatformHeadAnswer { index, head }));
            }
            RevisionAction::ReadKeys { call, .. } => {
                actions.extend(view.on_keys(now, call, set.keys()));
            }
            _ => {}
        }
    }
}
