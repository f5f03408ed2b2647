//! State that the tasks of a gateway share.

mod blame_state;
mod call_times;
mod capacity_reservation;
mod coordinator_state;
mod evacuation_state;
mod gateway_core;
mod gateway_state;
mod history_keeper;
mod path_state;
mod peer_table;
mod placed_target;
mod queue_guard;
mod queue_state;
mod rate_state;
mod refusal_limits;
mod send_check;
mod stop_plan;
mod target_updates;
mod view_state;

pub use call_times::CallTimes;
pub use capacity_reservation::{CapacityReservation, PlacementRefusal};
pub use coordinator_state::{CoordinatorState, INFORMED_COORDINATORS};
pub use gateway_core::{GatewayCore, LONG_POLL_TIMEOUT, QueueRequest};
pub use gateway_state::GatewayState;
pub use history_keeper::HistoryKeeper;
pub use peer_table::{ALIVE_TIMEOUT, PeerInfo, PeerPaths, PeerTable};
pub use placed_target::PlacedTarget;
pub use send_check::{AdmissionCheck, OTHER_NODE_RETRY, SendCheck, SendRefusal};
pub use stop_plan::StopPlan;
pub use view_state::ViewState;
