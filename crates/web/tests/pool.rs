//! Errors and connection reuse of the connection pool.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use base::TimeSpan;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::sleep;
use web::{
    ConnectionPool, HandlerFuture, PoolSettings, RequestError, ResponseLimits, ReusePolicy,
    StopSignal, WebBody, WebServer, full_body,
};

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn request(address: SocketAddr) -> Request<WebBody> {
    let builder = Request::builder().method(Method::POST).uri("/");
    let builder = builder.header("host", address.to_string());
    builder.body(full_body("body")).expect("a request")
}

/// Starts a TCP server that responds to `responses` requests on each connection and closes it on
/// the next one; returns its address and the number of requests received.
async fn closing_server(responses: usize) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind(any_port()).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let received = Arc::new(AtomicUsize::new(0));
    let count = received.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let count = count.clone();
            tokio::spawn(async move {
                let mut buffer = [0; 4_096];
                for at in 0.. {
                    let read = stream.read(&mut buffer).await.unwrap_or(0);
                    if read == 0 {
                        return;
                    }
                    count.fetch_add(1, Ordering::SeqCst);
                    if at == responses {
                        return;
                    }
                    let response = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
                    let _ = stream.write_all(response).await;
                }
            });
        }
    });
    (address, received)
}

/// Guards against reporting a request as possibly sent although the connection was refused.
#[tokio::test]
async fn a_refused_connection_is_unsent() {
    let listener = TcpListener::bind(any_port()).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let pool = ConnectionPool::new(PoolSettings::new());
    for policy in [ReusePolicy::NewOnly, ReusePolicy::AllowReuse] {
        let error = pool.send(address, policy, request(address)).await;
        let error = error.err().expect("no server");
        assert!(error.is_refused() && error.is_unsent(), "{error}");
    }
}

/// Guards against reporting a request as unsent, so that it is sent again, although the server
/// received it before it closed the connection.
#[tokio::test]
async fn a_request_received_before_the_close_counts_as_sent() {
    let (address, received) = closing_server(0).await;
    let pool = ConnectionPool::new(PoolSettings::new());
    let sent = pool
        .send(address, ReusePolicy::NewOnly, request(address))
        .await;
    let error = sent.err().expect("the server closes");
    assert!(matches!(error, RequestError::Sent { .. }), "{error}");
    assert!(!error.is_unsent());
    assert_eq!(received.load(Ordering::SeqCst), 1);
}

/// Guards against sending a request a second time after the server received it on a reused
/// connection.
#[tokio::test]
async fn a_request_that_reached_a_reused_connection_is_not_sent_again() {
    let (address, received) = closing_server(1).await;
    let pool = ConnectionPool::new(PoolSettings::new());
    let first = pool
        .send(address, ReusePolicy::AllowReuse, request(address))
        .await;
    let (response, connection) = first.expect("a response");
    response.into_body().collect().await.expect("a body");
    pool.release(connection);
    assert_eq!(pool.idle_count(), 1);
    let second = pool
        .send(address, ReusePolicy::AllowReuse, request(address))
        .await;
    let error = second.err().expect("the server closes");
    assert!(!error.is_unsent(), "{error}");
    assert_eq!(received.load(Ordering::SeqCst), 2);
}

/// Guards against a request that fails because the server has closed the idle connection that the
/// request was to be sent on.
#[tokio::test]
async fn a_closed_idle_connection_is_replaced() {
    let handler = |_| -> HandlerFuture { Box::pin(async { Response::new(full_body("ok")) }) };
    let server = WebServer::bind(any_port()).await.expect("a port");
    let address = server.address();
    let stop = StopSignal::new();
    let task = tokio::spawn(server.serve(Arc::new(handler), stop.clone()));
    let pool = ConnectionPool::new(PoolSettings::new());
    let first = pool
        .send(address, ReusePolicy::AllowReuse, request(address))
        .await;
    let (response, connection) = first.expect("a response");
    response.into_body().collect().await.expect("a body");
    pool.release(connection);
    stop.stop();
    task.await.expect("the server ends");
    sleep(Duration::from_millis(50)).await;
    let server = WebServer::bind(address).await.expect("the same port");
    let stop = StopSignal::new();
    let task = tokio::spawn(server.serve(Arc::new(handler), stop.clone()));
    let second = pool
        .send(address, ReusePolicy::AllowReuse, request(address))
        .await;
    assert!(second.is_ok(), "{:?}", second.err());
    stop.stop();
    drop(second);
    task.await.expect("the server ends");
}

/// Guards against reusing an idle connection after `close_idle`, which callers use when a
/// connection to the same server stopped responding.
#[tokio::test]
async fn a_closed_idle_connection_is_not_reused() {
    let (address, _) = closing_server(9).await;
    let pool = ConnectionPool::new(PoolSettings::new());
    let first = pool
        .send(address, ReusePolicy::AllowReuse, request(address))
        .await;
    let (response, connection) = first.expect("a response");
    response.into_body().collect().await.expect("a body");
    pool.release(connection);
    pool.close_idle(address);
    assert_eq!(pool.idle_count(), 0);
    let second = pool
        .send(address, ReusePolicy::AllowReuse, request(address))
        .await;
    // A connection that is not released is not kept.
    drop(second.expect("a response on a new connection"));
    assert_eq!(pool.idle_count(), 0);
}

/// Guards against an unlimited number of idle connections.
#[tokio::test]
async fn idle_connections_are_limited() {
    let (address, _) = closing_server(9).await;
    let mut settings = PoolSettings::new();
    settings.idle_limit = 2;
    let pool = ConnectionPool::new(settings);
    let mut open = Vec::new();
    for _ in 0..4 {
        let sent = pool
            .send(address, ReusePolicy::NewOnly, request(address))
            .await;
        let (response, connection) = sent.expect("a response");
        response.into_body().collect().await.expect("a body");
        open.push(connection);
    }
    open.into_iter()
        .for_each(|connection| pool.release(connection));
    assert_eq!(pool.idle_count(), 2);
}

/// Guards against responses without a limit on size or time, and against reusing a connection whose
/// response was not read to the end.
#[tokio::test]
async fn an_exchange_keeps_the_connection_after_a_whole_response_only() {
    let handler = |request: Request<Incoming>| -> HandlerFuture {
        Box::pin(async move {
            if request.uri().path() == "/slow" {
                sleep(Duration::from_secs(5)).await;
            }
            Response::new(full_body("answer"))
        })
    };
    let server = WebServer::bind(any_port()).await.expect("a port");
    let address = server.address();
    tokio::spawn(server.serve(Arc::new(handler), StopSignal::new()));
    let pool = ConnectionPool::new(PoolSettings::new());
    let limits = |bytes| ResponseLimits::new(bytes, TimeSpan::new(400));
    let whole = pool.exchange(address, request(address), limits(6)).await;
    assert_eq!(whole.expect("a response").into_body(), "answer");
    assert_eq!(pool.idle_count(), 1);
    let large = pool.exchange(address, request(address), limits(5)).await;
    assert!(matches!(large, Err(RequestError::Body { .. })), "{large:?}");
    assert_eq!(pool.idle_count(), 0);
    let mut late = request(address);
    *late.uri_mut() = "/slow".parse().expect("a path");
    let late = pool.exchange(address, late, limits(6)).await;
    assert!(
        matches!(late, Err(RequestError::ResponseTimeout)),
        "{late:?}"
    );
    assert_eq!(pool.idle_count(), 0);
}

/// Starts a TCP server that sends `response` to each request and keeps its connections open.
async fn raw_server(response: &'static str) -> SocketAddr {
    let listener = TcpListener::bind(any_port()).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buffer = [0; 4_096];
                while stream.read(&mut buffer).await.is_ok_and(|read| read > 0) {
                    let _ = stream.write_all(response.as_bytes()).await;
                }
            });
        }
    });
    address
}

/// Guards against readers of the store, of reports and of other nodes that take bytes for a response which
/// are none, or read on after one.
#[yare::parameterized(
    zero = { "HTTP/1.1 000 None\r\ncontent-length: 2\r\n\r\nok" },
    below = { "HTTP/1.1 099 None\r\ncontent-length: 2\r\n\r\nok" },
    beyond = { "HTTP/1.1 600 None\r\ncontent-length: 2\r\n\r\nok" },
    last = { "HTTP/1.1 999 None\r\ncontent-length: 2\r\n\r\nok" },
    switching = { "HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n\r\nok" },
    interim_with_body = { "HTTP/1.1 103 Early Hints\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n" },
    empty_with_length = { "HTTP/1.1 204 No Content\r\ncontent-length: 2\r\n\r\nok" },
    empty_with_chunks = { "HTTP/1.1 204 No Content\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n" },
)]
#[test_macro(tokio::test)]
async fn a_status_that_no_response_has_is_an_error(response: &'static str) {
    let address = raw_server(response).await;
    let pool = ConnectionPool::new(PoolSettings::new());
    let limits = ResponseLimits::new(64, TimeSpan::from_secs(5));
    let result = pool.exchange(address, request(address), limits).await;
    let error = result.expect_err("no response");
    assert!(!error.is_unsent(), "{error}");
    assert_eq!(pool.idle_count(), 0);
}
