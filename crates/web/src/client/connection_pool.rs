use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use base::EventKind;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use snafu::ResultExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::head_budget::{BudgetedStream, HeadBudget};
use super::response_check::check_response;
use crate::error::{
    BodySnafu, ConnectSnafu, ConnectTimeoutSnafu, ResponseTimeoutSnafu, SentSnafu, UnexpectedSnafu,
    UnsentSnafu,
};
use crate::header_limit::HEADER_LIMIT;
use crate::socket::{SocketOptions, set_socket_options};
use crate::{PoolSettings, RequestError, ResponseLimits, WebBody, read_body};

/// Size of the read buffer of a connection; a response head has to fit in it.
const BUFFER_BYTES: usize = 64 << 10;

/// Whether a request may be sent on an idle connection of the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReusePolicy {
    /// Use an idle connection if there is one, otherwise open a new one.
    AllowReuse,
    /// Always open a new connection, as for requests that must not be sent twice.
    NewOnly,
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

/// Pool of HTTP/1 client connections to many servers; clones share one pool.
///
/// A connection returns to the pool only through `release`, which is called once its response has
/// been read to the end, so that a connection that stopped responding is never reused.
#[derive(Clone)]
pub struct ConnectionPool {
    settings: Arc<PoolSettings>,
    idle: Arc<Mutex<BTreeMap<SocketAddr, IdleList>>>,
}

/// A connection taken out of the pool for one request and its response.
pub struct PooledConnection {
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

    /// Number of idle connections to all servers.
    pub fn idle_count(&self) -> usize {
        let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.values().map(Vec::len).sum()
    }

    /// Returns an idle or a new connection, as `policy` allows, without sending anything.
    ///
    /// # Errors
    /// `Connect` or `ConnectTimeout`.
    pub async fn connect(
        &self,
        address: SocketAddr,
        policy: ReusePolicy,
    ) -> Result<PooledConnection, RequestError> {
        if policy == ReusePolicy::AllowReuse
            && let Some(connection) = self.take_idle(address)
        {
            return Ok(PooledConnection {
                address,
                connection,
            });
        }
        let limit = Duration::from(self.settings.connect_timeout);
        let Ok(connected) = timeout(
            limit,
            open_connection(address, self.settings.socket_options),
        )
        .await
        else {
            return ConnectTimeoutSnafu { address }.fail();
        };
        let connection = connected?;
        Ok(PooledConnection {
            address,
            connection,
        })
    }

    /// Sends a request on an idle or a new connection and returns the response head.
    ///
    /// If an idle connection turns out to be closed before any byte of the request was sent, the
    /// request is sent once more on a new connection.
    ///
    /// # Errors
    /// `RequestError::is_unsent` tells whether any byte of the request may have reached the server.
    pub async fn send(
        &self,
        address: SocketAddr,
        policy: ReusePolicy,
        request: Request<WebBody>,
    ) -> Result<(Response<Incoming>, PooledConnection), RequestError> {
        let mut connection = self.connect(address, policy).await?;
        match connection.send(request).await {
            Ok(response) => Ok((response, connection)),
            Err((RequestError::Unsent, Some(request))) if policy == ReusePolicy::AllowReuse => {
                let mut fresh = self.connect(address, ReusePolicy::NewOnly).await?;
                let response = fresh.send(request).await.map_err(|(error, _)| error)?;
                Ok((response, fresh))
            }
            Err((error, _)) => Err(error),
        }
    }

    /// Sends a request and reads the whole response within `limits`.
    ///
    /// The connection is kept only after a whole response.
    ///
    /// # Errors
    /// `ResponseTimeout`, `Body`, or an error of `send`.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<WebBody>,
        limits: ResponseLimits,
    ) -> Result<Response<Bytes>, RequestError> {
        let whole = async {
            let sent = self.send(address, ReusePolicy::AllowReuse, request);
            let Ok(sent) = timeout(limits.head_timeout.into(), sent).await else {
                return ResponseTimeoutSnafu.fail();
            };
            let (response, connection) = sent?;
            let (parts, body) = response.into_parts();
            let body = read_body(body, limits.bytes, limits.timeout)
                .await
                .context(BodySnafu)?;
            self.release(connection);
            Ok(Response::from_parts(parts, body))
        };
        let received = timeout(limits.timeout.into(), whole).await;
        received.unwrap_or_else(|_| ResponseTimeoutSnafu.fail())
    }

    /// Returns a connection whose response has been read to the end to the pool.
    ///
    /// It is closed if the pool already holds `idle_limit` idle connections to its server.
    pub fn release(&self, connection: PooledConnection) {
        let PooledConnection {
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

    /// Closes all idle connections to `address`; called after a connection to it stopped
    /// responding, since the others may have lost their path as well.
    pub fn close_idle(&self, address: SocketAddr) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(&address);
    }

    fn take_idle(&self, address: SocketAddr) -> Option<OpenConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.get_mut(&address)?;
        let idle_timeout = Duration::from(self.settings.idle_timeout);
        list.retain(|entry| {
            !entry.connection.sender.is_closed() && entry.since.elapsed() < idle_timeout
        });
        // The connection used last is the least likely to have been dropped by a middlebox.
        list.pop().map(|entry| entry.connection)
    }
}

impl PooledConnection {
    /// Sends a request and returns the response head.
    ///
    /// # Errors
    /// `Unsent` together with the request, which may then be sent on another connection, `Sent`, or
    /// `Unexpected` if the head is none of a response.
    pub async fn send(
        &mut self,
        request: Request<WebBody>,
    ) -> Result<Response<Incoming>, (RequestError, Option<Request<WebBody>>)> {
        let OpenConnection { sender, budget } = &mut self.connection;
        if sender.ready().await.is_err() {
            return Err((RequestError::Unsent, Some(request)));
        }
        budget.limit();
        match sender.try_send_request(request).await {
            Ok(response) => {
                budget.lift();
                match check_response(&response) {
                    Ok(()) => Ok(response),
                    Err(reason) => Err((UnexpectedSnafu { reason }.build(), None)),
                }
            }
            Err(mut error) => match error.take_message() {
                Some(request) => Err((UnsentSnafu.build(), Some(request))),
                None => {
                    let failed = Err::<(), _>(error.into_error()).context(SentSnafu);
                    Err((failed.err().unwrap_or(RequestError::Unsent), None))
                }
            },
        }
    }
}

async fn open_connection(
    address: SocketAddr,
    socket_options: SocketOptions,
) -> Result<OpenConnection, RequestError> {
    let stream = TcpStream::connect(address).await;
    let stream = stream.context(ConnectSnafu { address })?;
    let stream = match set_socket_options(&stream, socket_options) {
        Ok(()) => stream,
        Err(source) => return Err(RequestError::Connect { address, source }),
    };
    let budget = HeadBudget::new();
    let stream = BudgetedStream::new(stream, budget.clone());
    let handshake = http1::Builder::new()
        .max_buf_size(BUFFER_BYTES)
        .max_headers(HEADER_LIMIT)
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
