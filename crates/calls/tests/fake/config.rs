use base::TimeSpan;
use calls::CallHistory;

/// Kind of fault that is injected repeatedly during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// A node process ends at once.
    KillNode,
    /// A node process halts for a while and then continues.
    PauseNode,
    /// A node stops gracefully and hands over its ticket windows.
    StopNode,
    /// Messages between the two failure domains are dropped for a while.
    CutDomains,
    /// Some open connections drop messages in one direction without closing.
    SilentOneWay,
    /// Some open connections drop messages in both directions without closing.
    SilentBoth,
    /// The next request crashes every target that runs it.
    CrashRequest,
    /// The platform takes a target back: it announces that it leaves, and ends later.
    ReclaimEngine,
    /// A target process ends at once.
    KillEngine,
    /// Callers send some requests twice with the same key.
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

/// What callers send in the `Idempotency-Key` header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScheme {
    /// A ticket issued by a node.
    Ticket,
    /// A key chosen by the caller.
    Key,
    /// No such header.
    Neither,
    /// One of the three, chosen at random for each request.
    Mixed,
}

/// Protections that a test can switch off to show that the checker then finds a violation.
#[derive(Clone, Copy, Debug)]
pub struct GuardSwitches {
    /// Deliver only the next token of the right generation (P1).
    pub check_offsets: bool,
    /// Complete an answer only on an explicit end event with a matching count (P2).
    pub check_end: bool,
    /// Record that the first byte of a request may have reached a target (P3).
    pub record_first_byte: bool,
    /// Let only the owner of a ticket or key run its request (P4).
    pub bind_owner: bool,
    /// Do not retry a call that may have run and is not repeatable (P4).
    pub respect_repeatable: bool,
    /// Send no new work to leaving targets (P5).
    pub avoid_leaving: bool,
    /// Take each retry from the retry budgets.
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

/// Parameters of one simulation run.
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

/// Results of a run: its history, and how the requests ended for their callers.
#[derive(Clone, Debug, Default)]
pub struct SimulationReport {
    pub history: CallHistory,
    pub requests: u32,
    pub answered: u32,
    /// Requests whose last answer was the error "not run".
    pub refused: u32,
    /// Requests whose last answer was an error that told the run state "unknown" or "yes".
    pub unknown: u32,
    /// Requests without a final answer: the node died or the caller timed out.
    pub silent: u32,
    pub faults: u32,
    /// Node restarts; each restarted node has fresh retry budgets.
    pub restarts: u32,
    /// Streams that a caller continued after it lost its connection.
    pub resumed: u32,
    /// Calls answered from a retained answer.
    pub replayed: u32,
    /// Crashing requests refused as crash suspects.
    pub crash_refusals: u32,
    /// Harmless requests refused as crash suspects.
    pub wrong_crash_refusals: u32,
    /// Number of target deaths caused by each crashing request.
    pub crash_deaths: Vec<u32>,
    pub virtual_ms: u64,
}
