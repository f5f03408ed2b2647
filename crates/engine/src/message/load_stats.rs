/// Load statistics of an engine; the fields match those of a load report of crate `sched`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadStats {
    /// Sequences in the running batch.
    pub running: u32,
    /// Sequences in the wait queue.
    pub waiting: u32,
    /// Memory pages held by running sequences.
    pub used_pages: u32,
    /// Memory pages that hold cached prefixes only.
    pub cached_pages: u32,
    /// All memory pages except those of weights.
    pub total_pages: u32,
    /// Tokens that fit in one page.
    pub page_tokens: u32,
    /// Preemptions since the engine started.
    pub preemptions: u64,
    /// Tokens recomputed because of preemptions since the engine started.
    pub recomputed_tokens: u64,
}
