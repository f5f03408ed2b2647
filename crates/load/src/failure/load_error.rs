use std::net::SocketAddr;

use snafu::Snafu;

/// Why an experiment or a run over HTTP failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LoadError {
    /// The plan is inconsistent or out of bounds.
    #[snafu(display("invalid plan: {reason}"))]
    InvalidPlan {
        /// What is wrong.
        reason: String,
    },
    /// A node's address belongs to another machine; load is sent only to this one.
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
