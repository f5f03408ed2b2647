//! Convergence of the fleet, merged from the status pages of its nodes.

mod fleet_summary;
mod status_row;
mod status_text;

pub use fleet_summary::{FleetSummary, UnreachableNode};
pub use status_row::{StatusRow, StatusSubject};
