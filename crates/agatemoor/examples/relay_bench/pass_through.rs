use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use crate::AnyError;

type Sender = SendRequest<Incoming>;

/// Pool of idle connections to the engine.
#[derive(Clone, Default)]
struct IdleConnections {
    idle: Arc<Mutex<Vec<Sender>>>,
}

impl IdleConnections {
    fn take(&self) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|sender| !sender.is_closed());
        idle.pop()
    }

    fn put_back(&self, sender: Sender) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.push(sender);
    }
}

/// Response body of the engine; its connection returns to the pool at its end.
struct ForwardedBody {
    body: Incoming,
    sender: Option<Sender>,
    idle: Option<IdleConnections>,
}

impl Body for ForwardedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if let Poll::Ready(None) = polled
            && let (Some(sender), Some(idle)) = (self.sender.take(), self.idle.take())
        {
            idle.put_back(sender);
        }
        polled
    }
}

/// Runs a proxy that only forwards requests to the engine and its responses back.
pub async fn run(engine: SocketAddr, fresh: bool) -> Result<(), AnyError> {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    println!("{}", listener.local_addr()?);
    let idle = (!fresh).then(IdleConnections::default);
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let idle = idle.clone();
        let service = service_fn(move |request| {
            let idle = idle.clone();
            async move { Ok::<_, Infallible>(forward(engine, request, idle).await) }
        });
        let http = hyper::server::conn::http1::Builder::new();
        tokio::spawn(http.serve_connection(TokioIo::new(stream), service));
    }
}

async fn forward(
    engine: SocketAddr,
    request: Request<Incoming>,
    idle: Option<IdleConnections>,
) -> Response<ForwardedBody> {
    let mut sender = match idle.as_ref().and_then(IdleConnections::take) {
        Some(sender) => sender,
        None => connect(engine).await,
    };
    sender.ready().await.expect("engine connection is ready");
    let response = sender.send_request(request).await;
    response.expect("engine answers").map(|body| ForwardedBody {
        body,
        sender: Some(sender),
        idle,
    })
}

async fn connect(engine: SocketAddr) -> Sender {
    let stream = TcpStream::connect(engine).await.expect("engine accepts");
    stream.set_nodelay(true).expect("TCP_NODELAY is supported");
    let (sender, connection) = handshake(TokioIo::new(stream)).await.expect("handshake");
    tokio::spawn(connection);
    sender
}
