use std::net::SocketAddr;

use base::{DomainName, IncarnationNumber, ServiceName, TargetName, TimeSpan};

/// A target as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRecord {
    /// Name of the target.
    pub name: TargetName,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address for calls.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Whether it announced that it leaves.
    pub is_leaving: bool,
    /// Calls that it runs at once.
    pub slots: u32,
    /// How much longer it is slow after its start, as of its last entry.
    pub cold_left: TimeSpan,
    /// Run of the process, as a target may start again under its name.
    pub incarnation: IncarnationNumber,
}
