//! Rates of calls that targets accept from all nodes together: what this node knows of them, and
//! the permits by which one node shares a rate among all.

mod fleet_reach;
mod rate_bucket;
mod rate_ledger;
mod rate_record;
mod return_schedule;
mod target_rate;

pub use fleet_reach::{DomainPeak, FleetReach};
pub use rate_bucket::{RateBucket, RateGrant};
pub use rate_ledger::RateLedger;
pub use rate_record::RateRecord;
pub use return_schedule::ReturnSchedule;
pub use target_rate::{PermitOutcome, SendPermit, TargetRate};
