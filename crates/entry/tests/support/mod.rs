//! Builders that the tests of this crate share.

use base::{ClockTime, IncarnationNumber, TimeSpan, TokenCount, TokenRate};
use entry::{EngineSpec, LeaseGuard, LoadSum, PlaceNeed, PlaceReach, TargetBoard, TargetRecord};

pub const SPEC: EngineSpec = EngineSpec {
    slots: 4,
    memory: TokenCount(10_000),
    can_move: true,
    event_tokens: 4,
    copy_rate: TokenRate(10_000),
};

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

pub fn board(records: &[TargetRecord]) -> TargetBoard {
    let mut board = TargetBoard::new("patan".parse().unwrap(), 7);
    let guard = LeaseGuard::default();
    board.take_records(ClockTime::new(1_000), records.to_vec(), &guard);
    board
}

pub fn need(tokens: u64, prefill: u64) -> PlaceNeed {
    PlaceNeed {
        service: "pool".parse().unwrap(),
        engine: Some(SPEC),
        load: LoadSum {
            calls: 1,
            tokens,
            prefill,
            incoming: 0,
        },
        is_quick: true,
        excluded: Vec::new(),
        moves_from: None,
        reach: PlaceReach::Any,
        delays: Vec::new(),
    }
}
