//! Helpers shared by the tests: names, requests, load reports and policies.

#![allow(dead_code)]

use std::sync::Arc;

use base::{ByteCount, ClockTime, RequestId, TargetName, TokenCount};
use sched::{
    CallKind, LoadReport, PeakPolicy, PolicySettings, RoutePolicy, SchedAction, TargetInfo,
    WorkItem,
};

pub fn at(millis: u64) -> ClockTime {
    ClockTime::new(millis)
}

pub fn request(number: u64) -> RequestId {
    format!("r{number}").parse().unwrap()
}

pub fn target(number: usize) -> TargetName {
    format!("t{number:04}").parse().unwrap()
}

pub fn targets(count: usize) -> Vec<TargetInfo> {
    let info = |number| TargetInfo {
        target: target(number),
        domain: "patan".parse().unwrap(),
        usable: true,
        weight_bytes: ByteCount(0),
    };
    (0..count).map(info).collect()
}

pub fn candidates(count: usize) -> Arc<[TargetName]> {
    (0..count).map(target).collect()
}

/// A chat request of a default workspace.
pub fn item(now: ClockTime, number: u64, candidates: &Arc<[TargetName]>) -> WorkItem {
    WorkItem {
        request: request(number),
        workspace: "w0".parse().unwrap(),
        weight: 1,
        queue_limit: 1_000,
        stream_limit: 1_000,
        model: Some("quill".parse().unwrap()),
        kind: CallKind::Chat,
        prompt_tokens: TokenCount(100),
        max_tokens: Some(TokenCount(400)),
        prefix: 0,
        candidates: candidates.clone(),
        excluded: Vec::new(),
        arrival: now,
        deadline: None,
    }
}

pub fn report(number: usize, measured_at: ClockTime, used_pages: u32) -> LoadReport {
    LoadReport {
        target: target(number),
        measured_at,
        running: 0,
        waiting: 0,
        used_pages,
        cached_pages: 0,
        total_pages: 1_000,
        page_tokens: 16,
        preemptions: 0,
    }
}

/// A policy with `count` empty targets that have reported their load.
pub fn policy(settings: PolicySettings, count: usize) -> PeakPolicy {
    let node = "node-1".parse().unwrap();
    let domain = "patan".parse().unwrap();
    let mut policy = PeakPolicy::new(settings, node, domain, 7);
    policy.on_targets(at(0), &targets(count));
    for number in 0..count {
        policy.on_report(at(0), report(number, at(0), 0));
    }
    policy
}

/// Drains the pending actions of a policy.
pub fn actions(policy: &mut dyn RoutePolicy) -> Vec<SchedAction> {
    let mut actions = Vec::new();
    policy.drain_actions(&mut actions);
    actions
}

/// The dispatched requests and their targets.
pub fn dispatched(actions: &[SchedAction]) -> Vec<(RequestId, TargetName)> {
    let pair = |action: &SchedAction| match action {
        SchedAction::Dispatch {
            request, target, ..
        } => Some((request.clone(), target.clone())),
        _ => None,
    };
    actions.iter().filter_map(pair).collect()
}

/// The refused requests with the kind of error and the retry time in milliseconds.
pub fn refused(actions: &[SchedAction]) -> Vec<(RequestId, base::ErrorKind, u64)> {
    let refusal = |action: &SchedAction| match action {
        SchedAction::Refuse {
            request,
            kind,
            retry_after,
        } => Some((request.clone(), *kind, retry_after.as_millis())),
        _ => None,
    };
    actions.iter().filter_map(refusal).collect()
}
