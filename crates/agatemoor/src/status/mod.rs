//! Convergence of the fleet from the status pages of its nodes.

mod fleet_summary;
mod status_row;
mod status_text;

pub use fleet_summary::{FleetSummary, SilentNode};
pub use status_row::{StatusRow, StatusSubject};
