//! Probe state: probes without an answer, the order in which peers are probed, and the local health
//! score.

mod local_health;
mod pending_probe;
mod probe_order;

pub(crate) use local_health::LocalHealth;
pub(crate) use pending_probe::{PendingProbe, ProbePurpose, ProbeStage};
pub(crate) use probe_order::ProbeOrder;
