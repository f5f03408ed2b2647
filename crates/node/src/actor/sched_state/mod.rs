//! The routing policy with the budgets, breakers and crash marks around it, owned by one actor.

mod sched_actor;
mod sched_handlers;
mod sched_message;
mod sched_output;

pub use sched_actor::SchedActor;
pub use sched_message::{
    AdmitCall, FinishCall, NoteSent, NoteTargetFailure, PassTime, ProgressCall, SubmitCall,
    TakeCrash, TakeDigest, TakeReport, TakeTargets, WithdrawCall,
};
pub use sched_output::SchedOutput;
