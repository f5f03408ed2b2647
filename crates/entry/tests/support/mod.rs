//! Builders of test data that the tests of this crate share.
use base::{ClockTime, IncarnationNumber, TimeSpan, TokenCount, TokenRate};
use entry::{
    EngineSpec, LeaseGuard, LoadBalancer, PlacementRequest, PlacementScope, TargetLoad,
    TargetRecord,
};

/// Capacity of every engine.
pub const SPEC: EngineSpec = EngineSpec {
    slots: 4,
    memory: TokenCount(10_000),
    can_move: true,
    event_tokens: 4,
    copy_rate: TokenRate(10_000),
};

/// Record of a ready target with two slots.
pub fn record(name: &str, domain: &str) -> TargetRecord {
    TargetRecord {
        name: name.parse().unwrap(),
        service: "pool".parse().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        domain: domain.parse().unwrap(),
        is_leaving: false,
        slots: 2,
        cold_left: TimeSpan::ZERO,
        incarnation: IncarnationNumber(1),
    }
}

/// Load balancer of a node in domain `patan` that knows the given targets.
pub fn balancer(records: &[TargetRecord]) -> LoadBalancer {
    let mut balancer = LoadBalancer::new("patan".parse().unwrap(), 7);
    let guard = LeaseGuard::default();
    balancer.update_records(ClockTime::new(1_000), records.to_vec(), &guard);
    balancer
}

/// Request to place a quick call on an engine of any domain.
pub fn request(tokens: u64, prefill: u64) -> PlacementRequest {
    PlacementRequest {
        service: "pool".parse().unwrap(),
        engine: Some(SPEC),
        load: TargetLoad {
            calls: 1,
            tokens,
            prefill,
            incoming: 0,
        },
        is_quick: true,
        excluded: Vec::new(),
        move_source: None,
        scope: PlacementScope::AllDomains,
        failure_delays: Vec::new(),
        pace: None,
        workspace: None,
    }
}
