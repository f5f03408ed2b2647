//! Placing of generations for all nodes of a failure domain by one of them, its desk.
//!
//! A desk serves efficiency only: a node whose desk does not answer places by what it knows itself.

mod desk_client;
mod desk_server;
mod room_message;

pub use desk_client::{RoomWish, acquire_move, acquire_room};
pub use desk_server::take_ask;
pub use room_message::{RoomAnswer, RoomQuestion};
