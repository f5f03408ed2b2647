//! Requesters.

use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use crate::http::{Head, read_chunk, read_head};
use crate::record;

/// Host of all routes.
pub const HOST: &str = "ficu95.example";

/// How an answer ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// By its length or its last chunk.
    Complete,
    /// The connection ended before.
    Cut,
    /// There was no head at all.
    NoAnswer,
}

/// An answer as the requester saw it.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status and headers.
    pub head: Head,
    /// Body as far as it came.
    pub body: Vec<u8>,
    /// How it ended.
    pub end: End,
}

/// A connection of a requester.
pub struct Connection {
    /// Where it leads.
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Opens a connection.
    pub fn open(address: &str) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(60)))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    /// Sends a request.
    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        headers: &str,
        body: &str,
    ) -> std::io::Result<()> {
        let length = match method {
            "GET" => String::new(),
            _ => format!("Content-Length: {}\r\n", body.len()),
        };
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Attempt-Id: {id}\r\n{headers}{length}\r\n{body}"
        );
        self.stream.write_all(text.as_bytes())
    }

    /// Reads an answer; after each part of the body, `pause` is called with the bytes so far.
    pub fn read(&mut self, pause: impl Fn(usize)) -> Answer {
        let Some(head) = read_head(&mut self.reader) else {
            return Answer {
                head: Head::default(),
                body: Vec::new(),
                end: End::NoAnswer,
            };
        };
        let mut body = Vec::new();
        if head.is_chunked() {
            loop {
                match read_chunk(&mut self.reader) {
                    None => {
                        return Answer {
                            head,
                            body,
                            end: End::Cut,
                        };
                    }
                    Some(None) => {
                        return Answer {
                            head,
                            body,
                            end: End::Complete,
                        };
                    }
                    Some(Some(chunk)) => body.extend_from_slice(&chunk),
                }
                pause(body.len());
            }
        }
        let length = head.length().unwrap_or(0);
        let mut buffer = vec![0; 16 << 10];
        while body.len() < length {
            let most = buffer.len().min(length - body.len());
            match self.reader.read(&mut buffer[..most]) {
                Ok(0) | Err(_) => {
                    return Answer {
                        head,
                        body,
                        end: End::Cut,
                    };
                }
                Ok(count) => body.extend_from_slice(&buffer[..count]),
            }
            pause(body.len());
        }
        Answer {
            head,
            body,
            end: End::Complete,
        }
    }
}

/// Sends one request on a connection of its own and records it with its answer.
pub fn request(
    address: &str,
    method: &str,
    path: &str,
    id: &str,
    headers: &str,
    body: &str,
) -> Answer {
    record::line(&format!("requester: sends {method} {path} ({id})"));
    let answer = match Connection::open(address) {
        Ok(mut connection) => match connection.send(method, path, id, headers, body) {
            Ok(()) => connection.read(|_| {}),
            Err(_) => no_answer(),
        },
        Err(_) => no_answer(),
    };
    record_answer(id, &answer);
    answer
}

/// Records what a requester got.
pub fn record_answer(id: &str, answer: &Answer) {
    record::line(&format!(
        "requester: {id} got status {}, {} bytes, {:?}, seal {}",
        answer.head.status(),
        answer.body.len(),
        answer.end,
        answer.head.get("response-seal").unwrap_or("none")
    ));
}

fn no_answer() -> Answer {
    Answer {
        head: Head::default(),
        body: Vec::new(),
        end: End::NoAnswer,
    }
}

/// Status of a GET without an id; 0 if there is no answer.
pub fn get_status(address: &str, path: &str) -> u16 {
    let Ok(stream) = TcpStream::connect(address) else {
        return 0;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let Ok(mut writer) = stream.try_clone() else {
        return 0;
    };
    let text = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    if writer.write_all(text.as_bytes()).is_err() {
        return 0;
    }
    read_head(&mut BufReader::new(stream)).map_or(0, |head| head.status())
}
