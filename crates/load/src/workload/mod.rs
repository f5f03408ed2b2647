//! Open-loop workloads modelled on the two deployments, and schedules of engine faults.

mod arrival_process;
mod call_class;
mod call_spec;
mod fault_event;
mod length_distribution;
mod workload_kind;
mod workload_mix;

pub use arrival_process::ArrivalProcess;
pub use call_class::CallClass;
pub use call_spec::CallSpec;
pub use fault_event::{FaultEvent, FaultKind};
pub use length_distribution::LengthDistribution;
pub use workload_kind::WorkloadKind;
pub use workload_mix::{WorkloadMix, WorkspaceShare};
