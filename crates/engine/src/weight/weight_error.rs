use snafu::Snafu;

/// Why an engine did not carry out an order on its weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum WeightError {
    /// Running sequences and other weights leave too little memory.
    #[snafu(display("{needed} pages are needed for the weights, {available} are available"))]
    MemoryFull {
        /// Pages that the weights take.
        needed: u32,
        /// Pages that could be taken.
        available: u32,
    },
    /// The weights are neither loaded nor being loaded.
    #[snafu(display("the weights are not loaded"))]
    NotLoaded,
}
