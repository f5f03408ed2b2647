//! Distribution under faults, in virtual time.

mod support;

use fleet::{RevisionBasis, RevisionStamp};
use support::{FakeConfig, FakeFleet, FleetTexts};

const BOUND_MS: u64 = 3_000;
const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

/// A fleet on which a first revision is in effect everywhere.
fn settled(domains: usize, nodes: usize, seed: u64) -> (FakeFleet, FleetTexts) {
    settled_with(FakeConfig::new(domains, nodes, seed))
}

fn settled_with(config: FakeConfig) -> (FakeFleet, FleetTexts) {
    let texts = FleetTexts::small(config.domains, config.nodes);
    let mut fleet = FakeFleet::new(config);
    let stamp = fleet.publish(1, &texts.keys(0));
    fleet.start_all();
    fleet.run_for(10_000);
    assert!(fleet.all_have(stamp));
    (fleet, texts)
}

/// Fails if any node took an older revision after a newer one, in any of its incarnations.
fn assert_never_reverts(fleet: &FakeFleet) {
    for node in &fleet.nodes {
        let mut ready = node.ready.windows(2);
        assert!(
            ready.all(|pair| pair[0].1 <= pair[1].1),
            "{} served less",
            node.name
        );
        for run in node.runs() {
            assert!(
                run.windows(2).all(|pair| pair[0] < pair[1]),
                "{} went back",
                node.name
            );
        }
    }
}

fn worst(fleet: &FakeFleet, stamp: RevisionStamp, since: u64) -> u64 {
    let latencies = fleet.latencies(stamp, since).into_iter();
    latencies.map(|at| at.unwrap_or(u64::MAX)).max().unwrap()
}

/// Guards against slow spreading: every node has each change within the bound of P7.
#[test]
fn changes_reach_every_node_within_the_bound() {
    for seed in SEEDS {
        let (mut fleet, texts) = settled(4, 32, seed);
        for change in 1..=20 {
            let since = fleet.now;
            let stamp = fleet.publish(1, &texts.keys(change));
            fleet.run_for(5_000);
            assert!(worst(&fleet, stamp, since) <= BOUND_MS, "seed {seed}");
        }
        assert_never_reverts(&fleet);
    }
}

/// Guards against a burst that starves the newest revision or floods the platform.
#[test]
fn bursts_of_a_hundred_changes_converge() {
    for seed in SEEDS {
        let (mut fleet, texts) = settled(4, 32, seed);
        let calls = fleet.platform.calls;
        let mut last = (0, None);
        for change in 1..=100 {
            last = (fleet.now, Some(fleet.publish(1, &texts.keys(change))));
            fleet.run_for(10);
        }
        fleet.run_for(BOUND_MS);
        assert!(
            worst(&fleet, last.1.unwrap(), last.0) <= BOUND_MS,
            "seed {seed}"
        );
        // Two readers in each of four domains at no more than 16 + 4 calls a second.
        assert!(
            fleet.platform.calls - calls <= 8 * (16 + 4 * 5),
            "seed {seed}"
        );
        assert_never_reverts(&fleet);
    }
}

/// Guards against a set that mixes keys of two operators who publish at once.
#[test]
fn two_operators_at_once_never_mix_their_sets() {
    let (mut fleet, texts) = settled(2, 8, 7);
    let before = fleet.nodes[0].stamp().unwrap();
    // Operator B overwrites a key of A before A's head arrives.
    let (mine, theirs) = (texts.keys(1), texts.keys(2));
    fleet.platform.state.write("changes.ini", &theirs[0].text);
    let head = fleet::make_head(1, &mine);
    fleet.platform.state.write("head", &head);
    fleet.wake_watches();
    fleet.run_for(10_000);
    assert!(fleet.all_have(before));
    let reader = fleet.readers_of(0)[0];
    let view = fleet.nodes[reader].view.as_ref().unwrap();
    let status = view.status(base::ClockTime::new(fleet.now));
    assert_eq!(status.incomplete[0].missing, ["changes.ini"]);
    let stamp = fleet.publish(1, &theirs);
    fleet.run_for(BOUND_MS);
    assert!(fleet.all_have(stamp));
}

/// Guards against a set applied in part: the head is there long before one of its keys.
#[test]
fn a_partial_set_takes_effect_only_when_whole() {
    let (mut fleet, texts) = settled(2, 8, 8);
    let before = fleet.nodes[0].stamp().unwrap();
    let keys = texts.keys(1);
    fleet
        .platform
        .state
        .write("head", &fleet::make_head(1, &keys));
    fleet.wake_watches();
    fleet.run_for(20_000);
    assert!(fleet.all_have(before));
    // The platform answers, so that status must not call it out of reach.
    let now = base::ClockTime::new(fleet.now);
    let mut views = fleet.nodes.iter().filter_map(|node| node.view.as_ref());
    assert!(views.all(|view| view.status(now).basis == RevisionBasis::Confirmed));
    let calls = fleet.platform.calls;
    fleet.run_for(60_000);
    assert!(
        fleet.platform.calls - calls < 4 * 20,
        "the missing key is polled too often"
    );
    fleet.platform.state.write("changes.ini", &keys[0].text);
    // The longest delay between two reads of a missing key.
    fleet.run_for(10_000 + BOUND_MS);
    let stamp = fleet.platform.state.stamp().unwrap();
    assert!(fleet.all_have(stamp));
}

/// Guards against a head that can't be read and takes the declaration or the platform away.
#[test]
fn an_unreadable_head_is_rejected_and_the_revision_stays() {
    let (mut fleet, texts) = settled(2, 8, 10);
    let before = fleet.nodes[0].stamp().unwrap();
    fleet.platform.state.write("head", "epoch = one");
    fleet.wake_watches();
    fleet.run_for(30_000);
    assert!(fleet.all_have(before));
    let now = base::ClockTime::new(fleet.now);
    for reader in fleet.readers_of(0) {
        let status = fleet.nodes[reader].view.as_ref().unwrap().status(now);
        assert_eq!(status.basis, RevisionBasis::Confirmed);
        assert_eq!(status.rejected.unwrap().mistakes.len(), 1);
        assert_eq!(fleet.nodes[reader].rejections, 1);
    }
    let stamp = fleet.publish(1, &texts.keys(1));
    fleet.run_for(BOUND_MS);
    assert!(fleet.all_have(stamp));
}

/// Guards against an invalid set that replaces a valid one or is fetched again and again.
#[test]
fn an_invalid_set_is_rejected_once_and_shown() {
    let (mut fleet, texts) = settled(2, 8, 9);
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
        let status = node.view.as_ref().unwrap().status(now);
        let own = status.rejected.map(|rejected| rejected.stamp);
        let heard = status.rejected_by_peer.map(|(_, stamp)| stamp);
        assert_eq!(own.or(heard), Some(bad));
        assert_eq!(status.basis, RevisionBasis::Confirmed);
    }
    let good = fleet.publish(1, &texts.keys(2));
    fleet.run_for(BOUND_MS);
    assert!(fleet.all_have(good));
}

/// Guards against a stale platform replica that reinstates an older revision.
#[test]
fn a_stale_platform_never_brings_back_an_older_revision() {
    for seed in SEEDS {
        let (mut fleet, texts) = settled(3, 12, seed);
        let old = fleet.platform.state.clone();
        let stamp = fleet.publish(1, &texts.keys(1));
        fleet.run_for(BOUND_MS);
        fleet.platform.stale = Some((old, vec![0, 1, 2]));
        let replaced = fleet.readers_of(0)[0];
        fleet.kill(replaced);
        fleet.run_for(5_000);
        fleet.start(replaced);
        fleet.run_for(60_000);
        assert!(fleet.all_have(stamp), "seed {seed}");
        assert_never_reverts(&fleet);
        let node = fleet.nodes.iter().find(|node| node.ignored > 0);
        let view = node.unwrap().view.as_ref().unwrap();
        let status = view.status(base::ClockTime::new(fleet.now));
        assert!(status.platform_stale.is_some());
        assert_eq!(status.basis, RevisionBasis::PeersAlone);
    }
}

/// Guards against a paused node that acts on, or spreads, what it knew before its pause.
#[test]
fn a_paused_node_catches_up_and_spreads_nothing_old() {
    for (seed, pause) in SEEDS
        .into_iter()
        .zip([1_000, 3_000, 10_000, 30_000, 60_000])
    {
        let (mut fleet, texts) = settled(2, 8, seed);
        let paused = fleet.readers_of(0)[0];
        fleet.pause(paused, pause);
        fleet.run_for(500);
        let stamp = fleet.publish(1, &texts.keys(1));
        fleet.run_until(fleet.now + pause - 500);
        let resumed = fleet.now;
        fleet.run_for(BOUND_MS);
        assert!(fleet.all_have(stamp), "seed {seed}");
        assert!(fleet.nodes[paused].reached(stamp, 0).unwrap() - resumed <= 500);
        assert_never_reverts(&fleet);
    }
}

/// Guards against a new VM that serves with less than its peers know.
#[test]
fn a_replaced_node_starts_with_what_its_peers_have() {
    for seed in SEEDS {
        let (mut fleet, texts) = settled(2, 8, seed);
        let old = fleet.platform.state.clone();
        let stamp = fleet.publish(1, &texts.keys(1));
        fleet.run_for(BOUND_MS);
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

/// Guards against a fleet that loses its declaration, or hammers the platform, while it is down.
#[test]
fn a_platform_that_is_down_for_long_changes_nothing() {
    let (mut fleet, texts) = settled(4, 32, 11);
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
        let status = node.view.as_ref().unwrap().status(now);
        assert_eq!(status.basis, RevisionBasis::PeersAlone);
        assert!(status.is_ready);
    }
    fleet.platform.is_down = false;
    let stamp = fleet.publish(1, &texts.keys(1));
    // The longest backoff passes before the platform is asked again.
    fleet.run_for(2_000 + BOUND_MS);
    assert!(fleet.all_have(stamp));
}

/// Guards against domains that depend on their own readers: one path is enough.
#[test]
fn a_domain_cut_from_the_platform_gets_changes_from_others() {
    for seed in SEEDS {
        let (mut fleet, texts) = settled(4, 32, seed);
        fleet.cut_platform = vec![0, 1, 2];
        fleet.run_for(10_000);
        for change in 1..=5 {
            let since = fleet.now;
            let stamp = fleet.publish(1, &texts.keys(change));
            fleet.run_for(5_000);
            assert!(worst(&fleet, stamp, since) <= BOUND_MS, "seed {seed}");
        }
        assert_never_reverts(&fleet);
    }
}

/// Guards against a healed domain that stays behind, or brings its older revision along.
#[test]
fn a_cut_off_domain_goes_on_and_catches_up_when_healed() {
    for seed in SEEDS {
        let (mut fleet, texts) = settled(4, 32, seed);
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
        assert!(worst(&fleet, stamp, since) <= BOUND_MS, "seed {seed}");
        assert_never_reverts(&fleet);
    }
}

/// Guards against an isolated node that stops or hides that it is alone.
#[test]
fn an_isolated_node_goes_on_and_says_so() {
    let (mut fleet, _) = settled(2, 2, 13);
    fleet.cut_pairs = vec![(0, 1)];
    fleet.cut_platform = vec![0];
    fleet.run_for(60_000);
    let now = base::ClockTime::new(fleet.now);
    let status = fleet.nodes[0].view.as_ref().unwrap().status(now);
    assert_eq!(status.basis, RevisionBasis::Isolated);
    assert!(status.is_ready);
}

/// Guards against a restart of everything that loses the declaration or floods the platform.
#[test]
fn all_nodes_restarted_within_a_minute_keep_the_revision() {
    for seed in SEEDS {
        let (mut fleet, texts) = settled(4, 32, seed);
        let old = fleet.platform.state.clone();
        let stamp = fleet.publish(1, &texts.keys(1));
        fleet.run_for(BOUND_MS);
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

/// Guards against a first start that waits for peers which have nothing, or never falls back.
#[test]
fn a_fleet_starts_from_the_platform_alone_or_from_a_peer_alone() {
    let texts = FleetTexts::small(2, 4);
    let mut fleet = FakeFleet::new(FakeConfig::new(2, 4, 17));
    let stamp = fleet.publish(1, &texts.keys(0));
    fleet.start(0);
    fleet.run_for(BOUND_MS);
    assert!(fleet.nodes[0].is_ready());
    let now = base::ClockTime::new(fleet.now);
    let status = fleet.nodes[0].view.as_ref().unwrap().status(now);
    assert_eq!(status.basis, RevisionBasis::PlatformAlone);
    fleet.platform.is_down = true;
    fleet.start(1);
    fleet.start(2);
    fleet.run_for(BOUND_MS);
    assert!(fleet.all_have(stamp));
    assert!(fleet.nodes[2].is_ready());
}
