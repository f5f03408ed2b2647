use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Response that a caller received, as text with its head.
pub struct CallerResponse {
    pub status: u16,
    pub text: String,
}

/// Makes a call with extra header lines and a body, and reads until the gateway closes the connection.
pub async fn call(address: SocketAddr, path: &str, headers: &str, body: &str) -> CallerResponse {
    read_response(open_stream(address, path, headers, body).await).await
}

/// Sends a GET request and reads until the server closes the connection.
pub async fn get(address: SocketAddr, path: &str) -> CallerResponse {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let text = format!("GET {path} HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n");
    stream.write_all(text.as_bytes()).await.unwrap();
    read_response(stream).await
}

/// Sends a POST request and reads until the server closes the connection.
pub async fn post(address: SocketAddr, path: &str, body: &[u8]) -> CallerResponse {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let length = body.len();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: node\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(body).await.unwrap();
    read_response(stream).await
}

/// Reads until the connection is closed.
async fn read_response(mut stream: TcpStream) -> CallerResponse {
    let mut bytes = Vec::new();
    // After a reset, what arrived before it counts.
    let _ = stream.read_to_end(&mut bytes).await;
    parse_response(&bytes)
}

/// Reads the status of a response; one that is missing reads as 0.
fn parse_response(bytes: &[u8]) -> CallerResponse {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    CallerResponse {
        status: status.unwrap_or(0),
        text,
    }
}

/// Connection of a caller that is kept open between calls.
pub struct KeptConnection {
    stream: TcpStream,
}

impl KeptConnection {
    pub async fn open(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.unwrap();
        Self { stream }
    }

    /// Sends a call and reads the response, which has to state its length or to come in chunks;
    /// `None` if the connection ends before a whole response.
    pub async fn call(&mut self, path: &str, headers: &str) -> Option<CallerResponse> {
        let text = format!(
            "POST {path} HTTP/1.1\r\nhost: shop.example\r\ncontent-length: 0\r\n{headers}\r\n"
        );
        self.stream.write_all(text.as_bytes()).await.ok()?;
        let mut bytes = Vec::new();
        loop {
            let mut part = [0; 4_096];
            let count = self.stream.read(&mut part).await.ok()?;
            if count == 0 {
                return None;
            }
            bytes.extend_from_slice(&part[..count]);
            if is_whole(&bytes) {
                return Some(parse_response(&bytes));
            }
        }
    }
}

/// Whether bytes are a whole response with a length or in chunks.
fn is_whole(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes).to_ascii_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let mut lines = head.lines();
    match lines.find_map(|line| line.strip_prefix("content-length: ")) {
        Some(length) => body.len() >= length.parse().unwrap(),
        None => body.ends_with("0\r\n\r\n"),
    }
}

/// Sends a call and returns its open connection.
pub async fn open_stream(address: SocketAddr, path: &str, headers: &str, body: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let length = match headers.contains("length") {
        true => String::new(),
        false => format!("content-length: {}\r\n", body.len()),
    };
    let text = format!(
        "POST {path} HTTP/1.1\r\nhost: Shop.Example:80\r\nconnection: close\r\n{length}{headers}\r\n{body}"
    );
    stream.write_all(text.as_bytes()).await.unwrap();
    stream
}
