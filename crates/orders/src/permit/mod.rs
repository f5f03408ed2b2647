//! Permits to load weights or take a model out of service, granted by the permit coordinator.
//!
//! Each domain has one permit coordinator. The owner of a target requests a permit for its next
//! order; the coordinator grants permits within the weight rate, the minimum capacity, the waves
//! and the failure limits that the declaration sets.

mod held_permit;
mod ledger_entry;
mod permit_coordinator;
mod permit_holder;
mod permit_ledger;
mod permit_request;
mod permit_response;
mod wanted_permit;

pub use held_permit::HeldPermit;
pub use permit_coordinator::permit_coordinator;
pub use permit_holder::PermitHolder;
pub use permit_ledger::PermitLedger;
pub use permit_request::PermitRequest;
pub use permit_response::{PermitGrant, PermitResponse};
pub use wanted_permit::WantedPermit;
