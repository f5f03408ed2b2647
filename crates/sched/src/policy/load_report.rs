use base::{ByteCount, ClockTime, DomainName, TargetName};

/// Static description of a target, known without asking it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetInfo {
    /// Name of the target.
    pub target: TargetName,
    /// Failure domain of the target.
    pub domain: DomainName,
    /// Whether the target may get new work.
    pub usable: bool,
    /// Size of the model weights loaded on the target.
    pub weight_bytes: ByteCount,
}

/// Load of an engine as the engine reported it; out of date by the time it is received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Engine that the report is about.
    pub target: TargetName,
    /// When the engine measured the load, on the clock of the receiving node.
    pub measured_at: ClockTime,
    /// Sequences in the running batch.
    pub running: u32,
    /// Sequences waiting in the engine.
    pub waiting: u32,
    /// Memory pages held by running sequences.
    pub used_pages: u32,
    /// Memory pages that hold cached prefixes only.
    pub cached_pages: u32,
    /// Total number of memory pages.
    pub total_pages: u32,
    /// Tokens that fit in one page.
    pub page_tokens: u32,
    /// Preemptions since the engine started.
    pub preemptions: u64,
}
