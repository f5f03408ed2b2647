//! Distribution of revisions under single faults, in virtual time.

mod support;

use fleet::{RevisionBasis, RevisionStamp};
use support::{FakeConfig, FakeFleet, FleetTexts};

/// Longest time from a change until every node has it, as set by P7.
const LATENCY_LIMIT_MS: u64 = 3_000;
const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

/// Returns a fleet with a first revision in effect at all nodes.
fn settled_fleet(domains: usize, nodes: usize, seed: u64) -> (FakeFleet, FleetTexts) {
    settled_fleet_with(FakeConfig::new(domains, nodes, seed))
}

fn settled_fleet_with(config: FakeConfig) -> (FakeFleet, FleetTexts) {
    let texts = FleetTexts::small(config.domains, config.nodes);
    let mut fleet = FakeFleet::new(config);
    let stamp = fleet.publish(1, &texts.keys(0));
    fleet.start_all();
    fleet.run_for(10_000);
    assert!(fleet.all_have(stamp));
    (fleet, texts)
}

/// Fails if a node accepted an older revision after a newer one within one incarnation, or became
/// ready with an older revision than the last time.
fn assert_never_reverts(fleet: &FakeFleet) {
    for node in &fleet.nodes {
        let mut ready = node.ready.windows(2);
        assert!(
            ready.all(|pair| pair[0].1 <= pair[1].1),
            "{} became ready with an older revision",
            node.name
        );
        for stamps in node.accepted_by_incarnation() {
            assert!(
                stamps.windows(2).all(|pair| pair[0] < pair[1]),
                "{} accepted an older revision",
                node.name
            );
        }
    }
}

/// Returns the latency of the slowest node; `u64::MAX` if a node does not have the revision.
fn worst_latency(fleet: &FakeFleet, stamp: RevisionStamp, since: u64) -> u64 {
    let latencies = fleet.latencies(stamp, since).into_iter();
    latencies.map(|at| at.unwrap_or(u64::MAX)).max().unwrap()
}

/// Guards against slow distribution: every node has each change within the limit that P7 sets.
#[test]
fn changes_reach_every_node_within_the_limit() {
    for seed in SEEDS {
        let (mut fleet, texts) = settled_fleet(4, 32, seed);
        for change in 1..=20 {
            let since = fleet.now;
            let stamp = fleet.publish(1, &texts.keys(change));
            fleet.run_for(5_000);
            assert!(
                worst_latency(&fleet, stamp, since) <= LATENCY_LIMIT_MS,
                "seed {seed}"
            );
        }
        assert_never_reverts(&fleet);
    }
}

/// Guards against a burst of changes that delays the newest revision or floods the platform.
#[test]
fn bursts_of_a_hundred_changes_converge() {
    for seed in SEEDS {
        let (mut fleet, texts) = settled_fleet(4, 32, seed);
        let calls = fleet.platform.calls;
        let mut last = (0, None);
        for change in 1..=100 {
            last = (fleet.now, Some(fleet.publish(1, &texts.keys(change))));
            fleet.run_for(10);
        }
        fleet.run_for(LATENCY_LIMIT_MS);
        assert!(
            worst_latency(&fleet, last.1.unwrap(), last.0) <= LATENCY_LIMIT_MS,
            "seed {seed}"
        );
        // Two readers in each of four domains, each with a burst of 16 calls and then 4 a second.
        assert!(
            fleet.platform.calls - calls <= 8 * (16 + 4 * 5),
            "seed {seed}"
        );
        assert_never_reverts(&fleet);
    }
}

/// Guards against a set that mixes keys of two operators who publish at the same time.
#[test]
fn two_operators_at_once_never_mix_their_sets() {
    let (mut fleet, texts) = settled_fleet(2, 8, 7);
    let before = fleet.nodes[0].stamp().unwrap();
    // One operator overwrites a key of the other before the other writes the head.
    let (mine, theirs) = (texts.keys(1), texts.keys(2));
    fleet.platform.state.write("changes.ini", &theirs[0].text);
    let head = fleet::make_head(1, &mine);
    fleet.platform.state.write("head", &head);
    fleet.wake_watches();
    fleet.run_for(10_000);
    assert!(fleet.all_have(before));
    let reader = fleet.readers_of(0)[0];
    let sync = fleet.nodes[reader].sync.as_ref().unwrap();
    let status = sync.status(base::ClockTime::new(fleet.now));
    assert_eq!(status.incomplete[0].missing, ["changes.ini"]);
    let stamp = fleet.publish(1, &theirs);
    fleet.run_for(LATENCY_LIMIT_MS);
    assert!(fleet.all_have(stamp));
}

/// Guards against applying a partial set: the head is published long before one of its keys.
#[test]
fn a_partial_set_takes_effect_only_when_complete() {
    let (mut fleet, texts) = settled_fleet(2, 8, 8);
    let before = fleet.nodes[0].stamp().unwrap();
    let keys = texts.keys(1);
    fleet
        .platform
        .state
        .write("head", &fleet::make_head(1, &keys));
    fleet.wake_watches();
    fleet.run_for(20_000);
    assert!(fleet.all_have(before));
    // The platform answers, so the status must not show it as unreachable.
    let now = base::ClockTime::new(fleet.now);
    let mut syncs = fleet.nodes.iter().filter_map(|node| node.sync.as_ref());
    assert!(syncs.all(|sync| sync.status(now).basis == RevisionBasis::Confirmed));
    let calls = fleet.platform.calls;
    fleet.run_for(60_000);
    assert!(
        fleet.platform.calls - calls < 4 * 20,
        "the missing key is polled too often"
    );
    fleet.platform.state.write("changes.ini", &keys[0].text);
    // 10 s is the longest delay between two reads of a missing key.
    fleet.run_for(10_000 + LATENCY_LIMIT_MS);
    let stamp = fleet.platform.state.stamp().unwrap();
    assert!(fleet.all_have(stamp));
}

/// Guards against an invalid head that removes the declaration or makes the platform count as
/// unreachable.
#[test]
fn an_invalid_head_is_rejected_and_the_revision_stays() {
    let (mut fleet, texts) = settled_fleet(2, 8, 10);
    let before = fleet.nodes[0].stamp().unwrap();
    fleet.platform.state.write("head", "epoch = one");
    fleet.wake_watches();
    fleet.run_for(30_000);
    assert!(fleet.all_have(before));
    let now = base::ClockTime::new(fleet.now);
    for reader in fleet.readers_of(0) {
        let status = fleet.nodes[reader].sync.as_ref().unwrap().status(now);
        assert_eq!(status.basis, RevisionBasis::Confirmed);
        assert_eq!(status.rejected.unwrap().mistakes.len(), 1);
        assert_eq!(fleet.nodes[reader].rejections, 1);
    }
    let stamp = fleet.publish(1, &texts.keys(1));
    fleet.run_for(LATENCY_LIMIT_MS);
    assert!(fleet.all_have(stamp));
}

/// Guards against an invalid set that replaces a valid one or is fetched repeatedly.
#[test]
fn an_invalid_set_is_rejected_once_and_shown_in_the_status() {
    let (mut fleet, texts) = settled_fleet(2, 8, 9);
    let before = fleet.nodes[0].stamp().unwrap();
    let bad = fleet.publish(1, &texts.invalid_keys(1));
    fleet.run_for(1_000);
    let calls = fleet.platform.calls;
    fleet.run_for(60_000);
    assert!(fleet.all_have(before));
    // Four readers, whose watches end every 10 s.
    assert!(fleet.platform.calls - calls <= 4 * 7);
    assert!(fleet.nodes.iter().all(|node| node.rejections <= 1));
    let now = base::ClockTime::new(fleet.now);
    for node in &fleet.nodes {
        let status = node.sync.as_ref().unwrap().status(now);
        let own = status.rejected.map(|rejected| rejected.stamp);
        let heard = status.rejected_by_peer.map(|(_, stamp)| stamp);
        assert_eq!(own.or(heard), Some(bad));
        assert_eq!(status.basis, RevisionBasis::Confirmed);
    }
    let good = fleet.publish(1, &texts.keys(2));
    fleet.run_for(LATENCY_LIMIT_MS);
    assert!(fleet.all_have(good));
}

/// Guards against a stale platform replica that reinstates an older revision.
#[test]
fn a_stale_platform_never_brings_back_an_older_revision() {
    for seed in SEEDS {
        let (mut fleet, texts) = settled_fleet(3, 12, seed);
        let old = fleet.platform.state.clone();
        let stamp = fleet.publish(1, &texts.keys(1));
        fleet.run_for(LATENCY_LIMIT_MS);
        fleet.platform.stale = Some((old, vec![0, 1, 2]));
        let replaced = fleet.readers_of(0)[0];
        fleet.kill(replaced);
        fleet.run_for(5_000);
        fleet.start(replaced);
        fleet.run_for(60_000);
        assert!(fleet.all_have(stamp), "seed {seed}");
        assert_never_reverts(&fleet);
        let node = fleet.nodes.iter().find(|node| node.ignored > 0);
        let sync = node.unwrap().sync.as_ref().unwrap();
        let status = sync.status(base::ClockTime::new(fleet.now));
        assert!(status.platform_stale.is_some());
        assert_eq!(status.basis, RevisionBasis::PeersAlone);
    }
}

/// Guards against a paused node that acts on, or distributes, what it knew before its pause.
#[test]
fn a_paused_node_catches_up_and_distributes_nothing_old() {
    for (seed, pause) in SEEDS
        .into_iter()
        .zip([1_000, 3_000, 10_000, 30_000, 60_000])
    {
        let (mut fleet, texts) = settled_fleet(2, 8, seed);
        let paused = fleet.readers_of(0)[0];
        fleet.pause(paused, pause);
        fleet.run_for(500);
        let stamp = fleet.publish(1, &texts.keys(1));
        fleet.run_until(fleet.now + pause - 500);
        let resumed = fleet.now;
        fleet.run_for(LATENCY_LIMIT_MS);
        assert!(fleet.all_have(stamp), "seed {seed}");
        assert!(fleet.nodes[paused].reached_at(stamp, 0).unwrap() - resumed <= 500);
        assert_never_reverts(&fleet);
    }
}

/// Guards against a new VM that serves with an older revision than its peers have.
#[test]
fn a_replaced_node_starts_with_what_its_peers_have() {
    for seed in SEEDS {
        let (mut fleet, texts) = settled_fleet(2, 8, seed);
        let old = fleet.platform.state.clone();
        let stamp = fleet.publish(1, &texts.keys(1));
        fleet.run_for(LATENCY_LIMIT_MS);
        fleet.platform.stale = Some((old, vec![0, 1]));
        for node in 0..8 {
            fleet.kill(node);
            fleet.run_for(2_500);
            fleet.start(node);
            fleet.run_for(5_000);
            assert_eq!(
                fleet.nodes[node].ready.last().unwrap().1,
                stamp,
                "seed {seed}"
            );
        }
        assert_never_reverts(&fleet);
    }
}

/// Guards against a fleet that loses its declaration during a long platform outage, or floods the
/// platform with calls.
#[test]
fn a_long_platform_outage_changes_nothing() {
    let (mut fleet, texts) = settled_fleet(4, 32, 11);
    let before = fleet.nodes[0].stamp().unwrap();
    fleet.platform.is_down = true;
    let calls = fleet.platform.calls;
    fleet.run_for(600_000);
    assert!(fleet.all_have(before));
    let per_second = (fleet.platform.calls - calls) as f64 / 600.0;
    // Eight readers, each with a delay of 1 s to 2 s between its calls.
    assert!(per_second <= 8.0, "{per_second} calls a second");
    let now = base::ClockTime::new(fleet.now);
    for node in &fleet.nodes {
        let status = node.sync.as_ref().unwrap().status(now);
        assert_eq!(status.basis, RevisionBasis::PeersAlone);
        assert!(status.is_ready);
    }
    fleet.platform.is_down = false;
    let stamp = fleet.publish(1, &texts.keys(1));
    // The longest backoff passes before the platform is asked again.
    fleet.run_for(2_000 + LATENCY_LIMIT_MS);
    assert!(fleet.all_have(stamp));
}

/// Guards against domains that depend on their own readers: changes may arrive by any domain.
#[test]
fn a_domain_cut_from_the_platform_gets_changes_from_others() {
    for seed in SEEDS {
        let (mut fleet, texts) = settled_fleet(4, 32, seed);
        fleet.cut_platform = vec![0, 1, 2];
        fleet.run_for(10_000);
        for change in 1..=5 {
            let since = fleet.now;
            let stamp = fleet.publish(1, &texts.keys(change));
            fleet.run_for(5_000);
            assert!(
                worst_latency(&fleet, stamp, since) <= LATENCY_LIMIT_MS,
                "seed {seed}"
            );
        }
        assert_never_reverts(&fleet);
    }
}

/// Guards against a domain that stays behind, or distributes its older revision, after its links
/// are restored.
#[test]
fn a_cut_off_domain_keeps_serving_and_catches_up_when_healed() {
    for seed in SEEDS {
        let (mut fleet, texts) = settled_fleet(4, 32, seed);
        let before = fleet.nodes[0].stamp().unwrap();
        fleet.cut_pairs = vec![(0, 1), (0, 2), (0, 3)];
        fleet.cut_platform = vec![0];
        fleet.run_for(5_000);
        let stamp = fleet.publish(1, &texts.keys(1));
        fleet.run_for(60_000);
        for node in &fleet.nodes {
            let expected = if node.domain == 0 { before } else { stamp };
            assert_eq!(node.stamp(), Some(expected));
            assert!(node.is_ready());
        }
        fleet.cut_pairs.clear();
        let since = fleet.now;
        fleet.run_for(10_000);
        assert!(
            worst_latency(&fleet, stamp, since) <= LATENCY_LIMIT_MS,
            "seed {seed}"
        );
        assert_never_reverts(&fleet);
    }
}

/// Guards against an isolated node that stops serving or does not show that it is isolated.
#[test]
fn an_isolated_node_keeps_serving_and_shows_it() {
    let (mut fleet, _) = settled_fleet(2, 2, 13);
    fleet.cut_pairs = vec![(0, 1)];
    fleet.cut_platform = vec![0];
    fleet.run_for(60_000);
    let now = base::ClockTime::new(fleet.now);
    let status = fleet.nodes[0].sync.as_ref().unwrap().status(now);
    assert_eq!(status.basis, RevisionBasis::Isolated);
    assert!(status.is_ready);
}

/// Guards against a restart of all nodes that loses the declaration or floods the platform.
#[test]
fn all_nodes_restarted_within_a_minute_keep_the_revision() {
    for seed in SEEDS {
        let (mut fleet, texts) = settled_fleet(4, 32, seed);
        let old = fleet.platform.state.clone();
        let stamp = fleet.publish(1, &texts.keys(1));
        fleet.run_for(LATENCY_LIMIT_MS);
        fleet.platform.stale = Some((old, vec![0, 1, 2, 3]));
        let calls = fleet.platform.calls;
        for node in 0..32 {
            fleet.kill(node);
            fleet.run_for(900);
            fleet.start(node);
            fleet.run_for(975);
        }
        fleet.run_for(10_000);
        assert!(fleet.all_have(stamp), "seed {seed}");
        assert!(fleet.nodes.iter().all(|node| node.is_ready()));
        assert_never_reverts(&fleet);
        let per_second = (fleet.platform.calls - calls) as f64 / 70.0;
        assert!(per_second < 8.0, "{per_second} calls a second, seed {seed}");
    }
}

/// Guards against a first start that waits for peers without a revision, or never falls back to one
/// source alone.
#[test]
fn a_fleet_starts_from_the_platform_alone_or_from_a_peer_alone() {
    let texts = FleetTexts::small(2, 4);
    let mut fleet = FakeFleet::new(FakeConfig::new(2, 4, 17));
    let stamp = fleet.publish(1, &texts.keys(0));
    fleet.start(0);
    fleet.run_for(LATENCY_LIMIT_MS);
    assert!(fleet.nodes[0].is_ready());
    let now = base::ClockTime::new(fleet.now);
    let status = fleet.nodes[0].sync.as_ref().unwrap().status(now);
    assert_eq!(status.basis, RevisionBasis::PlatformAlone);
    fleet.platform.is_down = true;
    fleet.start(1);
    fleet.start(2);
    fleet.run_for(LATENCY_LIMIT_MS);
    assert!(fleet.all_have(stamp));
    assert!(fleet.nodes[2].is_ready());
}
