use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::EventKind;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::sleep;

use crate::header_limit::HEADER_LIMIT;
use crate::socket::{SocketOptions, set_socket_options};
use crate::{ServerLimits, StopSignal, WebHandler};

/// Pause after a failed `accept`, whose usual cause is that the process has no free file
/// descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// HTTP/1 server on one address with a limit on open connections and a graceful shutdown.
pub struct WebServer {
    listener: TcpListener,
    address: SocketAddr,
    limits: ServerLimits,
}

impl WebServer {
    /// Binds a listener to `address`; port 0 lets the operating system choose a port.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        Ok(Self {
            listener,
            address,
            limits: ServerLimits::new(),
        })
    }

    /// Returns this server with other limits.
    #[must_use]
    pub fn with_limits(mut self, limits: ServerLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Address on which the server listens, with the port that the system chose.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts and serves connections until `stop` is set, then closes the listener and waits for
    /// the requests in flight.
    pub async fn serve(self, handler: Arc<dyn WebHandler>, stop: StopSignal) {
        let graceful = GracefulShutdown::new();
        let permits = Arc::new(Semaphore::new(self.limits.connections));
        loop {
            let accepted = tokio::select! {
                () = stop.stopped() => break,
                accepted = accept_next(&self.listener, &permits) => accepted,
            };
            let Ok((stream, permit)) = accepted else {
                let number = EventKind::ListenerFailed.number();
                log::warn!(event = number; "cannot accept a connection on {}", self.address);
                sleep(ACCEPT_PAUSE).await;
                continue;
            };
            spawn_connection(stream, permit, &handler, self.limits, graceful.watcher());
        }
        drop(self.listener);
        graceful.shutdown().await;
    }
}

/// Waits until a connection is allowed by the limit and accepts the next one.
async fn accept_next(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> io::Result<(TcpStream, Option<OwnedSemaphorePermit>)> {
    let permit = permits.clone().acquire_owned().await.ok();
    let (stream, _) = listener.accept().await?;
    set_socket_options(&stream, SocketOptions::default())?;
    Ok((stream, permit))
}

/// Serves one connection in a task of its own; `permit` is returned when the connection ends.
fn spawn_connection(
    stream: TcpStream,
    permit: Option<OwnedSemaphorePermit>,
    handler: &Arc<dyn WebHandler>,
    limits: ServerLimits,
    watcher: Watcher,
) {
    let handler = handler.clone();
    let service = service_fn(move |request| {
        let response = handler.handle(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from(limits.header_timeout))
        .max_buf_size(limits.header_bytes)
        .max_headers(HEADER_LIMIT)
        .serve_connection(TokioIo::new(stream), service);
    let watched = watcher.watch(connection);
    tokio::spawn(async move {
        if let Err(error) = watched.await {
            let number = EventKind::ConnectionEnded.number();
            log::debug!(event = number; "accepted connection ended: {error}");
        }
        drop(permit);
    });
}
