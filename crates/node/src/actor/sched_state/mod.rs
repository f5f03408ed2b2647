//! The scheduling actor: owns the routing policy, retry budgets, circuit breakers and crash marks.

mod sched_actor;
mod sched_handlers;
mod sched_message;
mod sched_output;

pub use sched_actor::SchedActor;
pub use sched_message::{
    CancelCall, FinishCall, MarkAdmitted, MarkSent, ReceiveCrash, ReceiveDigest, ReportFailure,
    ReportLoad, ReportProgress, SetTargets, SubmitCall, TickSched,
};
pub use sched_output::SchedOutput;
