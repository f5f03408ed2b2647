use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// What a caller saw on its connection.
pub struct CallerAnswer {
    pub status: u16,
    pub text: String,
}

/// Makes a call with extra header lines and a body, and reads until the node closes.
pub async fn call(address: SocketAddr, path: &str, headers: &str, body: &str) -> CallerAnswer {
    read_answer(open_stream(address, path, headers, body).await).await
}

/// Asks for a path and reads until the server closes.
pub async fn get(address: SocketAddr, path: &str) -> CallerAnswer {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let text = format!("GET {path} HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n");
    stream.write_all(text.as_bytes()).await.unwrap();
    read_answer(stream).await
}

/// Sends bytes to a path and reads until the server closes.
pub async fn post(address: SocketAddr, path: &str, body: &[u8]) -> CallerAnswer {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let length = body.len();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: node\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(body).await.unwrap();
    read_answer(stream).await
}

async fn read_answer(mut stream: TcpStream) -> CallerAnswer {
    let mut bytes = Vec::new();
    // A reset shows as what arrived before it.
    let _ = stream.read_to_end(&mut bytes).await;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    CallerAnswer {
        status: status.unwrap_or(0),
        text,
    }
}

/// Sends a call and leaves the connection open.
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
