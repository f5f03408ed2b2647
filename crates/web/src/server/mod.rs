//! HTTP/1 server with limits on connections and request heads.

mod server_limits;
mod stop_signal;
mod web_handler;
mod web_server;

pub use server_limits::ServerLimits;
pub use stop_signal::StopSignal;
pub use web_handler::{HandlerFuture, WebHandler};
pub use web_server::WebServer;
