use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use base::{EventKind, TimeSpan};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use snafu::ResultExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::head_budget::{BudgetedStream, HeadBudget};
use crate::fault::{
    BodySnafu, ConnectSnafu, ConnectTimeoutSnafu, ResponseTimeoutSnafu, SentSnafu, UnsentSnafu,
};
use crate::socket::{SocketTuning, tune_socket};
use crate::{PoolSettings, WebBody, WebError, read_body};

/// Bytes of a response that are held before they are parsed, and so the largest head.
const BUFFER_BYTES: usize = 64 << 10;

/// Which connections a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendPhase {
    /// An idle connection or a new one.
    Reuse,
    /// A new connection only, as for requests that must not be sent twice.
    Fresh,
}

struct IdleConnection {
    connection: OpenConnection,
    since: Instant,
}

struct OpenConnection {
    sender: SendRequest<WebBody>,
    budget: HeadBudget,
}

type IdleList = Vec<IdleConnection>;

/// Connections to many servers; clones share one pool.
///
/// A connection goes back to the pool when its response was read to the end, and only by
/// `release`, so that one that went silent is never used again.
#[derive(Clone)]
pub struct ConnectionPool {
    settings: Arc<PoolSettings>,
    idle: Arc<Mutex<BTreeMap<SocketAddr, IdleList>>>,
}

/// A connection that a response is being read from.
pub struct PooledSender {
    address: SocketAddr,
    connection: OpenConnection,
}

impl ConnectionPool {
    /// Creates an empty pool.
    ///
    /// ```
    /// let pool = web::ConnectionPool::new(web::PoolSettings::new());
    /// assert_eq!(pool.idle_count(), 0);
    /// ```
    pub fn new(settings: PoolSettings) -> Self {
        Self {
            settings: Arc::new(settings),
            idle: Arc::default(),
        }
    }

    /// Connections that wait for a request.
    pub fn idle_count(&self) -> usize {
        let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.values().map(Vec::len).sum()
    }

    /// Opens a connection or takes an idle one, without sending anything.
    ///
    /// # Errors
    /// `Connect` or `ConnectTimeout`.
    pub async fn connect(
        &self,
        address: SocketAddr,
        phase: SendPhase,
    ) -> Result<PooledSender, WebError> {
        if phase == SendPhase::Reuse
            && let Some(connection) = self.take_idle(address)
        {
            return Ok(PooledSender {
                address,
                connection,
            });
        }
        let wait = Duration::from(self.settings.connect_wait);
        let Ok(connected) = timeout(wait, open_connection(address, self.settings.tuning)).await
        else {
            return ConnectTimeoutSnafu { address }.fail();
        };
        let connection = connected?;
        Ok(PooledSender {
            address,
            connection,
        })
    }

    /// Sends a request on a connection of its own or an idle one and returns the response head.
    ///
    /// # Errors
    /// The error tells whether a byte may have reached the server.
    pub async fn send(
        &self,
        address: SocketAddr,
        phase: SendPhase,
        request: Request<WebBody>,
    ) -> Result<(Response<Incoming>, PooledSender), WebError> {
        let mut connection = self.connect(address, phase).await?;
        match connection.send(request).await {
            Ok(response) => Ok((response, connection)),
            Err((WebError::Unsent, Some(request))) if phase == SendPhase::Reuse => {
                let mut fresh = self.connect(address, SendPhase::Fresh).await?;
                let response = fresh.send(request).await.map_err(|(error, _)| error)?;
                Ok((response, fresh))
            }
            Err((error, _)) => Err(error),
        }
    }

    /// Sends a request and reads its whole response, of at most `limit` bytes, within `wait`.
    ///
    /// The connection is kept only after a whole response.
    ///
    /// # Errors
    /// `ResponseTimeout`, `Body`, or those of `send`.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<WebBody>,
        limit: usize,
        wait: TimeSpan,
    ) -> Result<Response<Bytes>, WebError> {
        let whole = async {
            let (response, connection) = self.send(address, SendPhase::Reuse, request).await?;
            let (parts, body) = response.into_parts();
            let body = read_body(body, limit, wait).await.context(BodySnafu)?;
            self.release(connection);
            Ok(Response::from_parts(parts, body))
        };
        let answered = timeout(wait.into(), whole).await;
        answered.unwrap_or_else(|_| ResponseTimeoutSnafu.fail())
    }

    /// Gives back a connection whose response was read to the end.
    pub fn release(&self, connection: PooledSender) {
        let PooledSender {
            address,
            connection,
        } = connection;
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.entry(address).or_default();
        if list.len() < self.settings.idle_limit {
            list.push(IdleConnection {
                connection,
                since: Instant::now(),
            });
        }
    }

    /// Drops the idle connections to `address`, as after one of them went silent.
    pub fn forget(&self, address: SocketAddr) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(&address);
    }

    fn take_idle(&self, address: SocketAddr) -> Option<OpenConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.get_mut(&address)?;
        let oldest = Duration::from(self.settings.idle_wait);
        list.retain(|entry| !entry.connection.sender.is_closed() && entry.since.elapsed() < oldest);
        // The one used last is the least likely to have been forgotten on the way.
        list.pop().map(|entry| entry.connection)
    }
}

impl PooledSender {
    /// Sends a request and returns the response head; an unsent request is given back.
    ///
    /// # Errors
    /// `Unsent` with the request, or `Sent`.
    pub async fn send(
        &mut self,
        request: Request<WebBody>,
    ) -> Result<Response<Incoming>, (WebError, Option<Request<WebBody>>)> {
        let OpenConnection { sender, budget } = &mut self.connection;
        if sender.ready().await.is_err() {
            return Err((WebError::Unsent, Some(request)));
        }
        budget.begin();
        match sender.try_send_request(request).await {
            Ok(response) => {
                budget.end();
                Ok(response)
            }
            Err(mut error) => match error.take_message() {
                Some(request) => Err((UnsentSnafu.build(), Some(request))),
                None => {
                    let failed = Err::<(), _>(error.into_error()).context(SentSnafu);
                    Err((failed.err().unwrap_or(WebError::Unsent), None))
                }
            },
        }
    }
}

async fn open_connection(
    address: SocketAddr,
    tuning: SocketTuning,
) -> Result<OpenConnection, WebError> {
    let stream = TcpStream::connect(address).await;
    let stream = stream.context(ConnectSnafu { address })?;
    let stream = match tune_socket(&stream, tuning) {
        Ok(()) => stream,
        Err(source) => return Err(WebError::Connect { address, source }),
    };
    let budget = HeadBudget::new();
    let stream = BudgetedStream::new(stream, budget.clone());
    let handshake = http1::Builder::new()
        .max_buf_size(BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await;
    let Ok((sender, connection)) = handshake else {
        return UnsentSnafu.fail();
    };
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            let number = EventKind::ConnectionEnded.number();
            log::debug!(event = number; "connection to {address} ended: {error}");
        }
    });
    Ok(OpenConnection { sender, budget })
}
