//! Probes, their order and the health of this node.

mod local_health;
mod pending_probe;
mod probe_ring;

pub(crate) use local_health::LocalHealth;
pub(crate) use pending_probe::{PendingProbe, ProbePurpose, ProbeStage};
pub(crate) use probe_ring::ProbeRing;
