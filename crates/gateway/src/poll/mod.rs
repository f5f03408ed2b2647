//! Background tasks that poll the store for published items and engines for their state.

mod engine_poller;
mod view_poller;

pub use engine_poller::EnginePoller;
pub use view_poller::ViewPoller;
