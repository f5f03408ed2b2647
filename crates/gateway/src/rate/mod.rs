//! Permits for sending to targets that name a rate of calls, which one node grants to all.
//!
//! A node asks the placement coordinator of its failure domain, and that asks the coordinator of the
//! target's domain. While that one can't be reached, the reachable nodes use their part of the rate.

mod permit_client;
mod permit_message;

pub use permit_client::{acquire_permit, await_permit, request_permits};
pub use permit_message::{PermitReply, PermitRequest, PermitStep};
