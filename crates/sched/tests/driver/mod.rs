//! Drives policies with random event sequences and checks their actions.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use base::{ClockTime, RequestId, TargetName, TokenCount};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use sched::*;

use crate::support::{at, item, report, request, target, targets};

/// One step of a random sequence: kind of event, two random parameters, and milliseconds that pass
/// before it.
pub type Step = (u8, u32, u32, u16);

pub const TARGETS: usize = 5;

/// Runs `check` on sequences of steps from a fixed seed.
pub fn run_steps(cases: u32, check: impl Fn(Vec<Step>) -> Result<(), TestCaseError>) {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, random);
    let step = (0_u8..100, any::<u32>(), any::<u32>(), 0_u16..120);
    let steps = prop::collection::vec(step, 1..250);
    runner.run(&steps, check).unwrap();
}

/// Phase of a request according to the actions so far.
#[derive(Clone, Debug)]
pub enum RequestPhase {
    Waiting(WorkItem),
    Running(TargetName, u32),
}

/// Turns steps into events for policies and checks the actions that these return.
pub struct Driver {
    pub now: ClockTime,
    pub open_requests: BTreeMap<RequestId, RequestPhase>,
    pub ended_requests: BTreeSet<RequestId>,
    pub submitted: u64,
    pub list: Vec<TargetInfo>,
    pools: Vec<Arc<[TargetName]>>,
    sequence: u64,
}

impl Driver {
    pub fn new() -> Self {
        let mut list = targets(TARGETS);
        list[TARGETS - 1].domain = "balaju".parse().unwrap();
        let all: Arc<[TargetName]> = (0..TARGETS).map(target).collect();
        let some = (1..TARGETS).map(target).collect();
        Self {
            now: at(1_000),
            open_requests: BTreeMap::new(),
            ended_requests: BTreeSet::new(),
            submitted: 0,
            list,
            pools: vec![all, some],
            sequence: 0,
        }
    }

    /// Applies one step to each policy; a withdrawn request counts as ended.
    pub fn apply(&mut self, step: Step, policies: &mut [&mut dyn RoutePolicy]) {
        let (kind, first, second, pause) = step;
        self.now = at(self.now.as_millis() + u64::from(pause));
        let now = self.now;
        match kind {
            0..=39 => {
                let item = self.draw_item(first, second);
                self.open_requests
                    .insert(item.request.clone(), RequestPhase::Waiting(item.clone()));
                policies
                    .iter_mut()
                    .for_each(|policy| policy.submit(now, item.clone()));
            }
            40..=57 => {
                let Some((name, produced)) = self.pick_running(first) else {
                    return;
                };
                let count = TokenCount(produced + 1 + second % 90);
                let phase = self.open_requests.get_mut(&name);
                if let Some(RequestPhase::Running(_, produced)) = phase {
                    *produced = count.0;
                }
                policies
                    .iter_mut()
                    .for_each(|policy| policy.on_progress(now, &name, count));
            }
            58..=72 => {
                let Some((name, _)) = self.pick_running(first) else {
                    return;
                };
                let outcomes = [
                    DispatchOutcome::Failed,
                    DispatchOutcome::NotAdmitted,
                    DispatchOutcome::Cancelled,
                ];
                let outcome = outcomes.get(second as usize % 12).copied();
                let outcome = outcome.unwrap_or(DispatchOutcome::Complete);
                self.open_requests.remove(&name);
                self.ended_requests.insert(name.clone());
                policies
                    .iter_mut()
                    .for_each(|policy| policy.on_finished(now, &name, outcome));
            }
            73..=82 => {
                let age = u64::from(second % 2_000);
                let measured_at = at(now.as_millis() - age.min(now.as_millis()));
                let mut report =
                    report(first as usize % TARGETS, measured_at, (second >> 16) % 700);
                report.running = second % 7;
                report.preemptions = u64::from(second.is_multiple_of(300)) * now.as_millis();
                policies
                    .iter_mut()
                    .for_each(|policy| policy.on_report(now, report.clone()));
            }
            83..=88 => {
                self.sequence += 1;
                let entry = |number| TargetDigest {
                    target: target(number),
                    in_flight: first % 5,
                    held_tokens: second % 4_000,
                    peak_tokens: second % 4_000 + 300,
                };
                let digest = PeerDigest {
                    node: format!("peer-{}", first % 3).parse().unwrap(),
                    sequence: self.sequence,
                    targets: (0..first as usize % TARGETS).map(entry).collect(),
                };
                policies
                    .iter_mut()
                    .for_each(|policy| policy.on_digest(now, digest.clone()));
            }
            89..=90 => {
                let waiting = self
                    .open_requests
                    .iter()
                    .filter(|(_, phase)| matches!(phase, RequestPhase::Waiting(_)));
                let Some(name) = waiting.map(|(name, _)| name.clone()).next() else {
                    return;
                };
                self.open_requests.remove(&name);
                self.ended_requests.insert(name.clone());
                policies
                    .iter_mut()
                    .for_each(|policy| policy.withdraw(now, &name));
            }
            91 => {
                let changed = first as usize % TARGETS;
                self.list[changed].usable = !self.list[changed].usable;
                let listed = self.list.clone();
                let listed: Vec<_> = listed
                    .into_iter()
                    .enumerate()
                    .filter(|(at, _)| second % 8 != *at as u32)
                    .map(|(_, info)| info)
                    .collect();
                policies
                    .iter_mut()
                    .for_each(|policy| policy.on_targets(now, &listed));
                self.list = targets(TARGETS)
                    .into_iter()
                    .map(|info| {
                        let known = listed.iter().find(|known| known.target == info.target);
                        known.cloned().unwrap_or(TargetInfo {
                            usable: false,
                            ..info
                        })
                    })
                    .collect();
            }
            92..=93 => {
                let name = target(first as usize % TARGETS);
                let prefix = u64::from(second % 4);
                policies.iter_mut().for_each(|policy| {
                    policy.on_cache_event(now, &name, prefix, !second.is_multiple_of(3))
                });
            }
            _ => policies.iter_mut().for_each(|policy| policy.on_tick(now)),
        }
    }

    /// Updates the requests by the actions; fails on an action that `RoutePolicy` does not allow.
    pub fn check_actions(&mut self, actions: &[SchedAction]) -> Result<(), TestCaseError> {
        for action in actions {
            match action {
                SchedAction::Dispatch {
                    request, target, ..
                } => {
                    let phase = self.open_requests.get(request).cloned();
                    let Some(RequestPhase::Waiting(item)) = phase else {
                        return Err(TestCaseError::fail(format!("{request} answered twice")));
                    };
                    prop_assert!(
                        item.candidates.contains(target),
                        "{} is no candidate",
                        target
                    );
                    prop_assert!(!item.excluded.contains(target), "{} is excluded", target);
                    let info = self.list.iter().find(|info| info.target == *target);
                    prop_assert!(
                        info.is_some_and(|info| info.usable),
                        "{} is not usable",
                        target
                    );
                    self.open_requests
                        .insert(request.clone(), RequestPhase::Running(target.clone(), 0));
                }
                SchedAction::Refuse { request, .. } => {
                    let phase = self.open_requests.remove(request);
                    prop_assert!(
                        matches!(phase, Some(RequestPhase::Waiting(_))),
                        "{} answered twice",
                        request
                    );
                    self.ended_requests.insert(request.clone());
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn draw_item(&mut self, first: u32, second: u32) -> WorkItem {
        let pool = self.pools[first as usize % self.pools.len()].clone();
        let mut item = item(self.now, self.submitted, &pool);
        self.submitted += 1;
        item.workspace = format!("w{}", second % 3).parse().unwrap();
        item.weight = 1 + second % 3;
        (item.queue_limit, item.stream_limit) = (30, 25);
        item.model = (!first.is_multiple_of(11)).then(|| "quill".parse().unwrap());
        item.prompt_tokens = TokenCount(20 + (first >> 8) % 900);
        item.max_tokens =
            (!second.is_multiple_of(5)).then(|| TokenCount(8 + (second >> 8) % 2_000));
        item.prefix = u64::from(first % 4);
        if first.is_multiple_of(7) {
            item.excluded = vec![target(second as usize % TARGETS)];
        }
        let deadline = at(self.now.as_millis() + u64::from(second % 8_000));
        item.deadline = second.is_multiple_of(4).then_some(deadline);
        item
    }

    fn pick_running(&self, number: u32) -> Option<(RequestId, u32)> {
        let running = self
            .open_requests
            .iter()
            .filter_map(|(name, phase)| match phase {
                RequestPhase::Running(_, produced) => Some((name.clone(), *produced)),
                RequestPhase::Waiting(_) => None,
            });
        let running: Vec<_> = running.collect();
        let at = (number as usize).checked_rem(running.len())?;
        Some(running[at].clone())
    }

    /// Number of requests that wait according to the actions so far.
    pub fn waiting_count(&self) -> usize {
        let waiting = |phase: &&RequestPhase| matches!(phase, RequestPhase::Waiting(_));
        self.open_requests.values().filter(waiting).count()
    }
}

/// Returns the identifier of the request with a number.
pub fn name(number: u64) -> RequestId {
    request(number)
}
