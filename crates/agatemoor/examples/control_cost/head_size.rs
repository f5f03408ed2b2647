use std::net::SocketAddr;

use base::{IncarnationNumber, NodeName};
use node::{
    AddressBook, EventJournal, PeerClient, PeerKey, PeerMessage, PeerResponse, SystemClock,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use web::{ConnectionPool, PoolSettings, WebServer, full_body};

use crate::AnyError;

/// Longest head that is read.
const HEAD_LIMIT: usize = 4_096;

/// Bytes that a message between nodes has beside its body.
pub struct HeadSize {
    /// Head of the request.
    pub request: u64,
    /// Head and body of the reply `Done`.
    pub reply: u64,
}

impl HeadSize {
    /// Lets the client of the nodes send one message, and a server of the same crate answer it.
    pub async fn measure() -> Result<Self, AnyError> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = WebServer::bind(any).await?;
        let back = server.address();
        let answer = |_| -> web::HandlerFuture {
            let packed = rmp_serde::to_vec(&PeerResponse::Done).unwrap_or_default();
            Box::pin(async move { hyper::Response::new(full_body(packed)) })
        };
        let stop = web::StopSignal::new();
        let serving = tokio::spawn(server.serve(std::sync::Arc::new(answer), stop.clone()));
        let listener = TcpListener::bind(any).await?;
        let front = listener.local_addr()?;
        let sent = tokio::spawn(send_hello(front));
        let (mut from, _) = listener.accept().await?;
        let mut to = tokio::net::TcpStream::connect(back).await?;
        let request = pass_part(&mut from, &mut to).await?;
        let reply = pass_part(&mut to, &mut from).await?;
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
    assert!(reply.is_ok(), "the exchange is answered: {reply:?}");
}

/// Passes one message on and returns the bytes of its head and its body.
async fn pass_part(
    from: &mut tokio::net::TcpStream,
    to: &mut tokio::net::TcpStream,
) -> Result<(usize, usize), AnyError> {
    let mut seen = Vec::new();
    loop {
        let mut part = [0; HEAD_LIMIT];
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
