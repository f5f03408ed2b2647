use std::net::SocketAddr;

use snafu::Snafu;

/// Why an experiment or a load run could not be carried out.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LoadError {
    /// The plan contradicts itself or is out of bounds.
    #[snafu(display("invalid plan: {reason}"))]
    InvalidPlan {
        /// What is wrong.
        reason: String,
    },
    /// Load is only ever sent to this machine.
    #[snafu(display("{address} is not a loopback address"))]
    NotLoopback {
        /// The address found.
        address: SocketAddr,
    },
    /// The plot could not be drawn.
    #[snafu(display("the plot could not be drawn: {reason}"))]
    PlotFailed {
        /// What the plot library reported.
        reason: String,
    },
}
