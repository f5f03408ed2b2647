//! Open-loop workloads of both deployments and the faults that go with them.

mod arrival_law;
mod call_class;
mod call_spec;
mod fault_event;
mod length_law;
mod workload_kind;
mod workload_mix;

pub use arrival_law::ArrivalLaw;
pub use call_class::CallClass;
pub use call_spec::CallSpec;
pub use fault_event::{FaultEvent, FaultKind};
pub use length_law::LengthLaw;
pub use workload_kind::WorkloadKind;
pub use workload_mix::{WorkloadMix, WorkspaceShare};
