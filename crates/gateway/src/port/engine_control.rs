use std::net::SocketAddr;

use base::RequestId;
use smol_str::SmolStr;

use super::PortFuture;

/// Answer of an engine to the order to copy the memory of a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CopyAnswer {
    /// The destination holds the whole copy.
    Whole {
        /// Name of the copy at the source.
        handle: SmolStr,
    },
    /// The destination has no room or can't be reached; a stopped source keeps the memory.
    NoRoom {
        /// Name of the memory at the source, if the generation stopped.
        handle: Option<SmolStr>,
    },
    /// The engine does not run such a generation.
    Unknown,
    /// Another copy of the generation is under way.
    Busy,
    /// The engine gave no answer that could be understood.
    Lost {
        /// What went wrong.
        reason: String,
    },
}

/// What an engine says of itself, some hundred milliseconds late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// Whether it leaves and gets no new work.
    pub is_leaving: bool,
}

/// Orders to engines about the memory of generations.
pub trait EngineControl: Send + Sync {
    /// Copies the memory of a generation to another engine; with `stops`, the generation stops
    /// first and only what is new since the last copy is sent.
    fn copy_memory<'a>(
        &'a self,
        source: SocketAddr,
        request: &'a RequestId,
        destination: SocketAddr,
        stops: bool,
    ) -> PortFuture<'a, CopyAnswer>;

    /// Asks an engine about itself; the error tells why it gave no answer.
    fn ask_report(&self, engine: SocketAddr) -> PortFuture<'_, Result<EngineReport, String>>;

    /// Frees a copy that will not be used, at both ends.
    fn free_copy<'a>(&'a self, source: SocketAddr, handle: &'a str) -> PortFuture<'a, ()>;
}
