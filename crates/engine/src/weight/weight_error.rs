use snafu::Snafu;

/// Why an engine could not load or unload weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum WeightError {
    /// Running sequences and other weights leave too little memory.
    #[snafu(display("{needed} pages are needed for the weights, {available} are available"))]
    MemoryFull {
        /// Pages that the weights take.
        needed: u32,
        /// Pages that could be allocated.
        available: u32,
    },
    /// The weights are neither loaded nor being loaded.
    #[snafu(display("the weights are not loaded"))]
    NotLoaded,
}
