use std::net::SocketAddr;

use base::{DomainName, IncarnationNumber, ServiceName, TargetName, TimeSpan};

/// Registration record of a target, as published by the target itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRecord {
    /// Name of the target.
    pub name: TargetName,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address for calls.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub domain: DomainName,
    /// Whether it announced that it leaves.
    pub is_leaving: bool,
    /// Calls that it can run concurrently.
    pub slots: u32,
    /// How much longer it stays cold, as of the time at which the record is handed over.
    pub cold_left: TimeSpan,
    /// Run of its process; a target that restarts under the same name has another incarnation.
    pub incarnation: IncarnationNumber,
}
