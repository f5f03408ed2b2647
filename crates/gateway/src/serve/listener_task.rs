use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::EventKind;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use web::{ServerLimits, StopSignal, WebHandler, WebServer};

use super::spawn_supervised;

/// Pause between two attempts to open a listening socket in the background.
const BIND_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Task that serves one listening socket and opens it again if it panicked.
pub struct ListenerTask {
    name: &'static str,
    address: SocketAddr,
    /// Socket that is open already.
    server: Option<WebServer>,
    limits: ServerLimits,
}

impl ListenerTask {
    /// Creates a task that opens `address` as soon as it is free.
    pub fn new(name: &'static str, address: SocketAddr) -> Self {
        Self {
            name,
            address,
            server: None,
            limits: ServerLimits::new(),
        }
    }

    /// Returns this task with a socket that is open already.
    #[must_use]
    pub fn with_server(mut self, server: WebServer) -> Self {
        self.server = Some(server);
        self
    }

    /// Returns this task with other limits.
    #[must_use]
    pub fn with_limits(mut self, limits: ServerLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Serves the socket until `stop` is set and all its requests have ended.
    pub fn spawn(self, handler: impl WebHandler, stop: &StopSignal) -> JoinHandle<()> {
        let (name, address, limits) = (self.name, self.address, self.limits);
        let mut server = self.server;
        let handler: Arc<dyn WebHandler> = Arc::new(handler);
        let stop = stop.clone();
        spawn_supervised(name, move || {
            let server = server.take();
            let (handler, stop) = (handler.clone(), stop.clone());
            async move {
                let server = match server {
                    Some(server) => server,
                    None => tokio::select! {
                        server = bind(name, address) => server,
                        () = stop.stopped() => return,
                    },
                };
                server.with_limits(limits).serve(handler, stop).await;
            }
        })
    }
}

/// Opens a listening socket once its address is free.
async fn bind(name: &'static str, address: SocketAddr) -> WebServer {
    let mut is_waiting = false;
    loop {
        match WebServer::bind(address).await {
            Ok(server) if is_waiting => {
                log::info!(
                    event = EventKind::ProcessMessage.number(),
                    listener = name;
                    "listening on {address}"
                );
                return server;
            }
            Ok(server) => return server,
            Err(error) if !is_waiting => {
                is_waiting = true;
                log::warn!(
                    event = EventKind::StartWaiting.number(),
                    listener = name;
                    "cannot listen on {address} yet: {error}"
                );
            }
            Err(_) => {}
        }
        sleep(BIND_RETRY_PAUSE).await;
    }
}
