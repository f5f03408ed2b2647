//! Tickets: the right to run a request, bound to the one process that issued it.

mod body_hash;
mod owner_id;
mod retained_answer;
mod ticket_claim;
mod ticket_issuer;
mod ticket_key;
mod ticket_routing;
mod ticket_text;
mod ticket_window;
mod window_export;
mod window_imports;

pub use body_hash::BodyHash;
pub use owner_id::OwnerId;
pub use retained_answer::{CallOutcome, RetainedAnswer};
pub use ticket_claim::TicketClaim;
pub use ticket_issuer::TicketIssuer;
pub use ticket_key::TicketKey;
pub use ticket_routing::{OwnerReach, TicketRoute, TicketRouting};
pub use ticket_text::TicketText;
pub use ticket_window::{TicketWindow, WindowLimits, WindowPhase};
pub use window_export::{ExportedEntry, WindowExport};
pub use window_imports::{ImportError, WindowImports};
