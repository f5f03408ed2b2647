use std::collections::BTreeSet;

use base::{DomainName, NodeName};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::call_state::CallState;
use super::engine_slot::EngineSlot;
use super::trial_run::micros;
use super::{NodeContext, TrialPlan};
use crate::CallSpec;

/// Mixed into the seed, so that nodes draw from another random stream than the rest of the
/// trial.
const NODE_STREAM: u64 = 0x6e6f_6400;

fn domain_name(plan: &TrialPlan, at: usize) -> DomainName {
    let name = format!("domain-{}", at % plan.domains);
    name.parse().expect("valid domain name")
}

/// Creates the contexts of all nodes: name, failure domain, peers and seed.
pub fn create_node_contexts(plan: &TrialPlan) -> Vec<NodeContext> {
    let name = |at: usize| -> NodeName {
        let name = format!("node-{at:03}");
        name.parse().expect("valid node name")
    };
    let context = |at: usize| NodeContext {
        node: name(at),
        domain: domain_name(plan, at),
        peers: (at % plan.domains..plan.nodes)
            .step_by(plan.domains)
            .map(name)
            .collect(),
        seed: (plan.seed ^ NODE_STREAM) << 16 | at as u64,
    };
    (0..plan.nodes).map(context).collect()
}

/// Creates the slots of all engines, those that faults add later included; none is started.
pub fn create_engine_slots(plan: &TrialPlan) -> Vec<EngineSlot> {
    let added = plan.faults.iter().map(|fault| fault.engine + 1).max();
    let count = plan.engines.max(added.unwrap_or(0));
    let slot = |at: usize| EngineSlot {
        target: format!("engine-{at:04}")
            .parse()
            .expect("valid target name"),
        domain: domain_name(plan, at),
        model: None,
        leaving: false,
        calls: BTreeSet::new(),
        wake_at: None,
        starts: 0,
    };
    (0..count).map(slot).collect()
}

/// Draws all calls of the trial in order of arrival, each for a node chosen at random.
pub fn create_call_states(plan: &TrialPlan) -> Vec<CallState> {
    let seconds = (micros(plan.warmup) + micros(plan.window)) as f64 / 1e6;
    let specs = plan.mix.draw_calls(plan.rate, seconds, plan.seed);
    let mut random = Pcg64Mcg::seed_from_u64(plan.seed ^ NODE_STREAM);
    let warmup = micros(plan.warmup);
    let call = |(at, spec): (usize, CallSpec)| {
        let measured = spec.arrival >= warmup;
        CallState::new(at, spec, random.random_range(0..plan.nodes), measured)
    };
    specs.into_iter().enumerate().map(call).collect()
}
