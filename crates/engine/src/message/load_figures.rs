/// Load of an engine; the fields match those of a load report of crate `sched`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadFigures {
    /// Sequences in the running batch.
    pub running: u32,
    /// Sequences waiting in the engine.
    pub waiting: u32,
    /// Memory pages held by running sequences.
    pub used_pages: u32,
    /// Memory pages that hold cached prefixes only.
    pub cached_pages: u32,
    /// Memory pages in all, without those that weights take.
    pub total_pages: u32,
    /// Tokens that fit in one page.
    pub page_tokens: u32,
    /// Preemptions since the engine started.
    pub preemptions: u64,
    /// Tokens that preemptions made the engine compute again since it started.
    pub recomputed_tokens: u64,
}
