//! Forwarding of calls to peers while this node has no network path to the targets of a service.
//!
//! A forwarded call is an HTTP request to the peer address with a [`ForwardTicket`] in a header. The peer
//! admits, places and sends the call as one of its own, and never forwards it again.

mod forward_client;
mod forward_server;
mod forward_ticket;
mod forwarded_stream;
mod path_prober;

pub use forward_client::{
    CallRoute, ForwardOutcome, PeerResponse, UNREACHABLE_RETRY, choose_route, forward_call,
    forward_plain, relay_forwarded,
};
pub use forward_server::{CallOrigin, mark_refusal, serve_forwarded};
pub use forward_ticket::{FORWARD_HEADER, ForwardTicket, OUTCOME_HEADER, TicketError};
pub use path_prober::probe_path;
