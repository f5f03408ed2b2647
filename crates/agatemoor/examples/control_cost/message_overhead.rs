use std::net::SocketAddr;

use base::{IncarnationNumber, NodeName};
use node::{
    AddressBook, EventJournal, PeerClient, PeerKey, PeerMessage, PeerResponse, SystemClock,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use web::{ConnectionPool, PoolSettings, WebServer, full_body};

use crate::AnyError;

/// Most bytes that are read from a socket at once.
const READ_BUFFER_BYTES: usize = 4_096;

/// Bytes of a message between nodes in addition to its request body.
pub struct MessageOverhead {
    /// Bytes of the request head.
    pub request: u64,
    /// Bytes of the head and body of the reply `Done`.
    pub reply: u64,
}

impl MessageOverhead {
    /// Measures one exchange on sockets: the peer client of the nodes sends `Hello` to a proxy,
    /// which counts the bytes and forwards them to a server that replies `Done`.
    pub async fn measure() -> Result<Self, AnyError> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = WebServer::bind(any).await?;
        let server_address = server.address();
        let answer = |_| -> web::HandlerFuture {
            let packed = rmp_serde::to_vec(&PeerResponse::Done).unwrap_or_default();
            Box::pin(async move { hyper::Response::new(full_body(packed)) })
        };
        let stop = web::StopSignal::new();
        let serving = tokio::spawn(server.serve(std::sync::Arc::new(answer), stop.clone()));
        let listener = TcpListener::bind(any).await?;
        let proxy_address = listener.local_addr()?;
        let sent = tokio::spawn(send_hello(proxy_address));
        let (mut from, _) = listener.accept().await?;
        let mut to = tokio::net::TcpStream::connect(server_address).await?;
        let request = forward_message(&mut from, &mut to).await?;
        let reply = forward_message(&mut to, &mut from).await?;
        sent.await?;
        stop.stop();
        drop((from, to));
        serving.await?;
        Ok(Self {
            request: request.0 as u64,
            reply: (reply.0 + reply.1) as u64,
        })
    }
}

async fn send_hello(address: SocketAddr) {
    let node: NodeName = "d1-n01".parse().expect("a valid name");
    let domain = "d1".parse().expect("a valid name");
    let journal = EventJournal::new(SystemClock::new(), node.clone(), domain, 16);
    let client = PeerClient::new(
        ConnectionPool::new(PoolSettings::new()),
        AddressBook::new(),
        PeerKey::new("a secret"),
        node.clone(),
        IncarnationNumber(1),
        journal,
    );
    let reply = client.ask_address(address, &node, PeerMessage::Hello).await;
    assert!(
        reply.is_ok(),
        "the server replies to the hello message: {reply:?}"
    );
}

/// Forwards one HTTP message and returns the bytes of its head and its body.
async fn forward_message(
    from: &mut tokio::net::TcpStream,
    to: &mut tokio::net::TcpStream,
) -> Result<(usize, usize), AnyError> {
    let mut seen = Vec::new();
    loop {
        let mut part = [0; READ_BUFFER_BYTES];
        let count = from.read(&mut part).await?;
        to.write_all(&part[..count]).await?;
        seen.extend_from_slice(&part[..count]);
        let end = seen.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        let Some(head) = end.map(|end| end + 4) else {
            continue;
        };
        let text = String::from_utf8_lossy(&seen[..head]).to_lowercase();
        let length = text
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        let body = length.map_or(Ok(0), str::parse)?;
        if seen.len() >= head + body {
            return Ok((head, body));
        }
    }
}
