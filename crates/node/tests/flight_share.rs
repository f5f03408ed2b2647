//! Work in flight that nodes of a large domain sum up for one another.

use std::collections::BTreeMap;

use base::{ClockTime, NodeName, TargetName};
use node::FlightShare;
use sched::TargetDigest;

const NODES: usize = 9;
const TARGETS: usize = 40;

fn node_name(number: usize) -> NodeName {
    format!("n{number}").parse().unwrap()
}

fn target_name(number: usize) -> TargetName {
    format!("t{number:02}").parse().unwrap()
}

fn digest(target: usize, in_flight: u32) -> TargetDigest {
    TargetDigest {
        target: target_name(target),
        in_flight,
        held_tokens: in_flight * 100,
        peak_tokens: in_flight * 300,
    }
}

/// Number of the node that sums up a target.
fn owner(target: &TargetName) -> usize {
    let number: usize = target.as_str()[1..].parse().unwrap();
    number % NODES
}

fn work_of(node: usize) -> Vec<TargetDigest> {
    let busy = (0..TARGETS).filter(|target| !(target * 7 + node).is_multiple_of(3));
    busy.map(|target| digest(target, (1 + node + target % 4) as u32))
        .collect()
}

fn exchange(shares: &mut [FlightShare], now: ClockTime) -> Vec<Vec<Vec<TargetDigest>>> {
    let mut told = vec![vec![Vec::new(); NODES]; NODES];
    for from in 0..NODES {
        for to in (0..NODES).filter(|to| *to != from) {
            let entries = shares[from].entries_for(now, &node_name(to), |target| {
                let owner = owner(target);
                match owner == from {
                    true => Some(true),
                    false => (owner == to).then_some(false),
                }
            });
            told[to][from] = entries;
        }
    }
    for (to, from_each) in told.iter().enumerate() {
        for (from, entries) in from_each.iter().enumerate() {
            if from != to {
                shares[to].take_peer(now, node_name(from), entries.clone());
            }
        }
    }
    told
}

fn sum_of(digests: &[Vec<TargetDigest>]) -> BTreeMap<TargetName, [u32; 3]> {
    let mut sums: BTreeMap<TargetName, [u32; 3]> = BTreeMap::new();
    for entry in digests.iter().flatten() {
        let sum = sums.entry(entry.target.clone()).or_default();
        sum[0] += entry.in_flight;
        sum[1] += entry.held_tokens;
        sum[2] += entry.peak_tokens;
    }
    sums
}

/// Guards against work of a peer that is counted twice, or not at all, or that comes back to its
/// own node as work of others.
#[test]
fn two_rounds_tell_each_node_the_work_of_all_others_once() {
    let mut shares: Vec<FlightShare> = (0..NODES).map(|_| FlightShare::new()).collect();
    for (number, share) in shares.iter_mut().enumerate() {
        share.set_own(work_of(number));
    }
    let now = ClockTime::ZERO;
    exchange(&mut shares, now);
    let told = exchange(&mut shares, now);
    for (number, from_each) in told.iter().enumerate() {
        let others = (0..NODES).filter(|other| *other != number);
        let expected: Vec<_> = others.map(work_of).collect();
        assert_eq!(sum_of(from_each), sum_of(&expected), "at node {number}");
    }
}

/// Guards against bytes that grow with the targets of the domain times its nodes.
#[test]
fn a_peer_is_told_only_the_targets_of_the_two() {
    let mut shares: Vec<FlightShare> = (0..NODES).map(|_| FlightShare::new()).collect();
    for (number, share) in shares.iter_mut().enumerate() {
        share.set_own(work_of(number));
    }
    exchange(&mut shares, ClockTime::ZERO);
    let told = exchange(&mut shares, ClockTime::ZERO);
    let longest = told.iter().flatten().map(Vec::len).max();
    assert!(longest <= Some(2 * TARGETS.div_ceil(NODES)), "{longest:?}");
}

/// Guards against work of a node that is gone and would be passed on for ever.
#[test]
fn work_of_a_silent_peer_is_dropped() {
    let mut share = FlightShare::new();
    share.take_peer(ClockTime::ZERO, node_name(1), vec![digest(0, 5)]);
    let peer = node_name(2);
    let early = share.entries_for(ClockTime::new(1_000), &peer, |_| Some(true));
    assert_eq!(early, [digest(0, 5)]);
    let late = share.entries_for(ClockTime::new(5_000), &peer, |_| Some(true));
    assert!(late.is_empty());
}
