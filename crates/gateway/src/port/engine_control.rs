use std::net::SocketAddr;

use base::{RequestId, TimeSpan};
use smol_str::SmolStr;

use super::PortFuture;

/// Result of asking an engine to copy the KV cache of a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CopyOutcome {
    /// The destination holds the complete copy.
    Whole {
        /// Handle of the copy at the source.
        handle: SmolStr,
    },
    /// The destination has no room or can't be reached; a stopped source keeps the KV cache.
    NoRoom {
        /// Handle of the KV cache at the source, if the generation stopped.
        handle: Option<SmolStr>,
    },
    /// The engine does not run the generation.
    Unknown,
    /// Another copy of the generation is in progress.
    Busy,
    /// The request was not sent.
    NotSent {
        /// What went wrong.
        reason: String,
    },
    /// The engine sent no response, or none that could be understood.
    Lost {
        /// What went wrong.
        reason: String,
    },
}

/// State that an engine reports about itself, some hundred milliseconds old.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// Whether it is leaving and gets no new work.
    pub is_leaving: bool,
    /// Time until it exits, if it knows.
    pub leaves_in: Option<TimeSpan>,
}

/// Client of the engines' control interface: KV cache copies and state reports.
pub trait EngineControl: Send + Sync {
    /// Copies the KV cache of a generation to another engine; with `stop_source`, the generation stops
    /// first and only what is new since the last copy is sent.
    fn copy_kv_cache<'a>(
        &'a self,
        source: SocketAddr,
        request: &'a RequestId,
        destination: SocketAddr,
        stop_source: bool,
    ) -> PortFuture<'a, CopyOutcome>;

    /// Fetches the state report of an engine; the error tells why there is none.
    fn fetch_report(&self, engine: SocketAddr) -> PortFuture<'_, Result<EngineReport, String>>;

    /// Releases a copy that will not be used, at the source and the destination.
    fn release_copy<'a>(&'a self, source: SocketAddr, handle: &'a str) -> PortFuture<'a, ()>;
}
