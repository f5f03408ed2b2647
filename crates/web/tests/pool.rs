//! What the connection pool says about requests that got no response.

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
    ConnectionPool, HandlerFuture, PoolSettings, SendPhase, StopSignal, WebBody, WebError,
    WebServer, full_body,
};

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn request(address: SocketAddr) -> Request<WebBody> {
    let builder = Request::builder().method(Method::POST).uri("/");
    let builder = builder.header("host", address.to_string());
    builder.body(full_body("body")).expect("a request")
}

/// A raw server that answers `answers` requests on each connection and closes it at the next.
async fn closing_server(answers: usize) -> (SocketAddr, Arc<AtomicUsize>) {
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
                    if at == answers {
                        return;
                    }
                    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
                    let _ = stream.write_all(answer).await;
                }
            });
        }
    });
    (address, received)
}

/// Guards against a refused connection that counts as a request that may have run.
#[tokio::test]
async fn a_refused_connection_is_unsent() {
    let listener = TcpListener::bind(any_port()).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let pool = ConnectionPool::new(PoolSettings::new());
    for phase in [SendPhase::Fresh, SendPhase::Reuse] {
        let error = pool.send(address, phase, request(address)).await;
        let error = error.err().expect("no server");
        assert!(error.is_refused() && error.is_unsent(), "{error}");
    }
}

/// Guards against a request that counts as unsent, and is sent again, although it arrived.
#[tokio::test]
async fn a_connection_closed_after_the_request_is_sent() {
    let (address, received) = closing_server(0).await;
    let pool = ConnectionPool::new(PoolSettings::new());
    let sent = pool.send(address, SendPhase::Fresh, request(address)).await;
    let error = sent.err().expect("the server closes");
    assert!(matches!(error, WebError::Sent { .. }), "{error}");
    assert!(!error.is_unsent());
    assert_eq!(received.load(Ordering::SeqCst), 1);
}

/// Guards against a second send of a request that reached its server over a reused connection.
#[tokio::test]
async fn a_request_that_reached_a_reused_connection_is_not_sent_again() {
    let (address, received) = closing_server(1).await;
    let pool = ConnectionPool::new(PoolSettings::new());
    let first = pool.send(address, SendPhase::Reuse, request(address)).await;
    let (response, connection) = first.expect("an answer");
    response.into_body().collect().await.expect("a body");
    pool.release(connection);
    assert_eq!(pool.idle_count(), 1);
    let second = pool.send(address, SendPhase::Reuse, request(address)).await;
    let error = second.err().expect("the server closes");
    assert!(!error.is_unsent(), "{error}");
    assert_eq!(received.load(Ordering::SeqCst), 2);
}

/// Guards against an idle connection that its server has closed and that fails a request.
#[tokio::test]
async fn a_closed_idle_connection_is_replaced() {
    let answer = |_| -> HandlerFuture { Box::pin(async { Response::new(full_body("ok")) }) };
    let server = WebServer::bind(any_port()).await.expect("a port");
    let address = server.address();
    let stop = StopSignal::new();
    let task = tokio::spawn(server.serve(Arc::new(answer), stop.clone()));
    let pool = ConnectionPool::new(PoolSettings::new());
    let first = pool.send(address, SendPhase::Reuse, request(address)).await;
    let (response, connection) = first.expect("an answer");
    response.into_body().collect().await.expect("a body");
    pool.release(connection);
    stop.stop();
    task.await.expect("the server ends");
    sleep(Duration::from_millis(50)).await;
    let server = WebServer::bind(address).await.expect("the same port");
    let stop = StopSignal::new();
    let task = tokio::spawn(server.serve(Arc::new(answer), stop.clone()));
    let second = pool.send(address, SendPhase::Reuse, request(address)).await;
    assert!(second.is_ok(), "{:?}", second.err());
    stop.stop();
    drop(second);
    task.await.expect("the server ends");
}

/// Guards against a connection that went silent and is used again.
#[tokio::test]
async fn a_forgotten_connection_is_not_used_again() {
    let (address, _) = closing_server(9).await;
    let pool = ConnectionPool::new(PoolSettings::new());
    let first = pool.send(address, SendPhase::Reuse, request(address)).await;
    let (response, connection) = first.expect("an answer");
    response.into_body().collect().await.expect("a body");
    pool.release(connection);
    pool.forget(address);
    assert_eq!(pool.idle_count(), 0);
    let second = pool.send(address, SendPhase::Reuse, request(address)).await;
    // A connection that is not given back is not kept.
    drop(second.expect("an answer on a new connection"));
    assert_eq!(pool.idle_count(), 0);
}

/// Guards against idle connections without bound.
#[tokio::test]
async fn idle_connections_are_bounded() {
    let (address, _) = closing_server(9).await;
    let mut settings = PoolSettings::new();
    settings.idle_limit = 2;
    let pool = ConnectionPool::new(settings);
    let mut open = Vec::new();
    for _ in 0..4 {
        let sent = pool.send(address, SendPhase::Fresh, request(address)).await;
        let (response, connection) = sent.expect("an answer");
        response.into_body().collect().await.expect("a body");
        open.push(connection);
    }
    open.into_iter()
        .for_each(|connection| pool.release(connection));
    assert_eq!(pool.idle_count(), 2);
}

/// Guards against answers without a bound in size or time, and against connections that are used
/// again although their answer was not read to the end.
#[tokio::test]
async fn an_exchange_keeps_the_connection_after_a_whole_answer_only() {
    let slow = |request: Request<Incoming>| -> HandlerFuture {
        Box::pin(async move {
            if request.uri().path() == "/slow" {
                sleep(Duration::from_secs(5)).await;
            }
            Response::new(full_body("answer"))
        })
    };
    let server = WebServer::bind(any_port()).await.expect("a port");
    let address = server.address();
    tokio::spawn(server.serve(Arc::new(slow), StopSignal::new()));
    let pool = ConnectionPool::new(PoolSettings::new());
    let wait = TimeSpan::new(400);
    let whole = pool.exchange(address, request(address), 6, wait).await;
    assert_eq!(whole.expect("an answer").into_body(), "answer");
    assert_eq!(pool.idle_count(), 1);
    let large = pool.exchange(address, request(address), 5, wait).await;
    assert!(matches!(large, Err(WebError::Body { .. })), "{large:?}");
    assert_eq!(pool.idle_count(), 0);
    let mut late = request(address);
    *late.uri_mut() = "/slow".parse().expect("a path");
    let late = pool.exchange(address, late, 6, wait).await;
    assert!(matches!(late, Err(WebError::ResponseTimeout)), "{late:?}");
    assert_eq!(pool.idle_count(), 0);
}
