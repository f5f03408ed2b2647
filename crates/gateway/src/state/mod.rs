//! State that the tasks of a gateway share.

mod gateway_core;
mod gateway_state;
mod line_place;
mod peer_table;
mod place_hold;
mod view_state;

pub use gateway_core::GatewayCore;
pub use gateway_state::GatewayState;
pub use peer_table::{ALIVE_WAIT, PeerTable};
pub use place_hold::{PlaceHold, PlaceRefusal};
pub use view_state::ViewState;
