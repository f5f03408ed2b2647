//! Tickets: signed idempotency tokens, each bound to the one process that issued it, so that a
//! request sent again with the same ticket runs at most once.

mod process_id;
mod request_hash;
mod retained_answer;
mod signed_ticket;
mod signing_key;
mod ticket_issuer;
mod ticket_router;
mod ticket_verdict;
mod ticket_window;
mod window_export;
mod window_imports;

pub use process_id::ProcessId;
pub use request_hash::RequestHash;
pub use retained_answer::{CallOutcome, RetainedAnswer};
pub use signed_ticket::SignedTicket;
pub use signing_key::SigningKey;
pub use ticket_issuer::TicketIssuer;
pub use ticket_router::{OwnerStatus, TicketRoute, TicketRouter};
pub use ticket_verdict::TicketVerdict;
pub use ticket_window::{TicketWindow, WindowLimits, WindowPhase};
pub use window_export::{ExportedTicket, WindowExport};
pub use window_imports::{ImportError, WindowImports};
