use std::future::Future;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// An HTTP request that was read with its whole body.
pub struct RawRequest {
    /// Request line and headers.
    head: String,
    pub body: String,
}

impl RawRequest {
    pub fn path(&self) -> &str {
        let target = self.target();
        target.split_once('?').map_or(target, |(path, _)| path)
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.find(|(key, _)| *key == name);
        found.map(|(_, value)| value.to_owned())
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(':'));
        let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim())
    }

    fn target(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or_default()
    }
}

/// Answers the requests of a connection in sequence; closes it when an answer is `None`.
pub async fn serve_requests<A>(mut stream: TcpStream, answer: impl Fn(RawRequest) -> A)
where
    A: Future<Output = Option<Vec<u8>>>,
{
    while let Some(request) = read_request(&mut stream).await {
        let Some(bytes) = answer(request).await else {
            return;
        };
        if stream.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

/// Reads the head of a request and as much body as its `Content-Length` says; `None` at the end of
/// the connection.
pub async fn read_request(stream: &mut TcpStream) -> Option<RawRequest> {
    let mut bytes = Vec::new();
    let body_start = loop {
        read_part(stream, &mut bytes).await?;
        let end = bytes.windows(4).position(|window| window == b"\r\n\r\n");
        if let Some(end) = end {
            break end + 4;
        }
    };
    let head = String::from_utf8_lossy(&bytes[..body_start - 4]).into_owned();
    let mut request = RawRequest {
        head,
        body: String::new(),
    };
    let length = request.header("content-length");
    let length: usize = length.map_or(0, |length| length.parse().unwrap());
    while bytes.len() < body_start + length {
        read_part(stream, &mut bytes).await?;
    }
    request.body = String::from_utf8_lossy(&bytes[body_start..]).into_owned();
    Some(request)
}

/// Reads what has arrived; `None` at the end of the connection.
async fn read_part(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<()> {
    let mut part = [0; 4_096];
    let count = stream.read(&mut part).await.ok()?;
    bytes.extend_from_slice(&part[..count]);
    (count > 0).then_some(())
}
