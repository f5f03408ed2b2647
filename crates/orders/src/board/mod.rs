//! The board of one node over all targets of its domain.

mod board_action;
mod board_drive;
mod board_peers;
mod board_settings;
mod board_slots;
mod board_status;
mod board_view;
mod domain_view;
mod guard_switches;
mod order_board;
mod order_message;
mod rollout_gates;

pub use board_action::BoardAction;
pub use board_settings::BoardSettings;
pub use board_view::BoardView;
pub use domain_view::DomainView;
pub use guard_switches::GuardSwitches;
pub use order_board::OrderBoard;
pub use order_message::{MessageBody, OrderMessage};
