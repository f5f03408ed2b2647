use base::TimeSpan;
use calls::CallHistory;

/// A kind of fault that is brought about again and again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    KillNode,
    PauseNode,
    StopNode,
    CutDomains,
    SilentOneWay,
    SilentBoth,
    CrashRequest,
    ReclaimEngine,
    KillEngine,
    CallerResends,
}

impl FaultKind {
    pub const ALL: [Self; 10] = [
        Self::KillNode,
        Self::PauseNode,
        Self::StopNode,
        Self::CutDomains,
        Self::SilentOneWay,
        Self::SilentBoth,
        Self::CrashRequest,
        Self::ReclaimEngine,
        Self::KillEngine,
        Self::CallerResends,
    ];
}

/// What callers send as `Idempotency-Key`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScheme {
    Ticket,
    Key,
    Neither,
    /// Each request draws one.
    Mixed,
}

/// Mechanisms that a test can switch off.
#[derive(Clone, Copy, Debug)]
pub struct GuardSwitches {
    /// Offsets and generations decide what is delivered (P1).
    pub check_offsets: bool,
    /// Only an explicit end with its count completes an answer (P2).
    pub check_end: bool,
    /// The first byte that may have reached a target is noted (P3).
    pub record_first_byte: bool,
    /// Tickets and keys are bound to one owner (P4).
    pub bind_owner: bool,
    /// A call that may have run and is not repeatable is not tried again (P4).
    pub respect_repeatable: bool,
    /// Leaving targets get nothing new (P5).
    pub avoid_leaving: bool,
    /// Retries need the budget.
    pub limit_retries: bool,
}

impl Default for GuardSwitches {
    fn default() -> Self {
        Self {
            check_offsets: true,
            check_end: true,
            record_first_byte: true,
            bind_owner: true,
            respect_repeatable: true,
            avoid_leaving: true,
            limit_retries: true,
        }
    }
}

#[derive(Clone, Debug)]
pub struct SimulationConfig {
    pub seed: u64,
    pub requests: u32,
    pub scheme: KeyScheme,
    pub faults: Vec<FaultKind>,
    pub fault_period_ms: u64,
    /// Longest time between two requests of a caller.
    pub think_ms: u64,
    pub key_lifetime: TimeSpan,
    pub switches: GuardSwitches,
}

impl SimulationConfig {
    pub fn new(seed: u64, requests: u32, faults: &[FaultKind]) -> Self {
        Self {
            seed,
            requests,
            scheme: KeyScheme::Mixed,
            faults: faults.to_vec(),
            fault_period_ms: 400,
            think_ms: 50,
            key_lifetime: TimeSpan::from_secs(240),
            switches: GuardSwitches::default(),
        }
    }
}

/// How the requests ended for their callers.
#[derive(Clone, Debug, Default)]
pub struct SimulationReport {
    pub history: CallHistory,
    pub requests: u32,
    pub answered: u32,
    /// Last told "not run".
    pub refused: u32,
    /// Last told "unknown" or "yes" without the answer.
    pub unknown: u32,
    /// Got no final answer: the node died or the caller gave up waiting.
    pub silent: u32,
    pub faults: u32,
    /// Processes started again, each with fresh budgets.
    pub restarts: u32,
    pub resumed: u32,
    pub replayed: u32,
    /// Refusals of crashing requests and of others.
    pub crash_refusals: u32,
    pub wrong_crash_refusals: u32,
    /// Deaths of targets by poisoned requests, per request.
    pub crash_deaths: Vec<u32>,
    pub virtual_ms: u64,
}
