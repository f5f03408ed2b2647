//! State that the tasks of a gateway share.

mod desk_state;
mod gateway_core;
mod gateway_state;
mod line_grant;
mod line_place;
mod peer_table;
mod place_hold;
mod send_check;
mod target_word;
mod view_state;

pub use desk_state::{DESKS, DeskState};
pub use gateway_core::{GatewayCore, RoomAsk};
pub use gateway_state::GatewayState;
pub use line_grant::LineGrant;
pub use peer_table::{ALIVE_WAIT, PeerFacts, PeerTable};
pub use place_hold::{PlaceHold, PlaceRefusal};
pub use send_check::{SendBar, SendCheck};
pub use view_state::ViewState;
