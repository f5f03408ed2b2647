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

    /// Opens a connection like one over a slow line: small segments and a small window.
    ///
    /// DEPLOY.md: "Links have a delay, a bandwidth and small windows, so a peer that does not read
    /// blocks the writer." Loopback has segments of 64 KiB and windows of megabytes otherwise.
    pub fn open_narrow(address: &str) -> std::io::Result<Self> {
        let stream = narrow::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_secs(60)))?;
        let reader = BufReader::with_capacity(4 << 10, stream.try_clone()?);
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

/// A TCP connection with options that have to be set before it is opened.
mod narrow {
    use std::io;
    use std::net::{SocketAddrV4, TcpStream};
    use std::os::fd::FromRawFd;

    #[repr(C)]
    struct Address {
        family: u16,
        port: u16,
        ip: u32,
        zero: [u8; 8],
    }

    unsafe extern "C" {
        fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
        fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
        #[link_name = "connect"]
        fn connect_raw(socket: i32, address: *const Address, length: u32) -> i32;
    }

    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    /// Size of a segment on Ethernet.
    const SEGMENT: i32 = 1_460;
    /// Bytes of the receive buffer; the kernel doubles it.
    const BUFFER: i32 = 32 << 10;

    pub fn connect(address: &str) -> io::Result<TcpStream> {
        let address: SocketAddrV4 = address.parse().map_err(io::Error::other)?;
        // SAFETY: plain calls of the C library with values and pointers that live long enough.
        unsafe {
            let fd = socket(AF_INET, SOCK_STREAM, 0);
            if fd < 0 {
                return Err(io::Error::last_os_error());
            }
            let stream = TcpStream::from_raw_fd(fd);
            setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &BUFFER, 4);
            setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &SEGMENT, 4);
            let target = Address {
                family: AF_INET as u16,
                port: address.port().to_be(),
                ip: u32::from_ne_bytes(address.ip().octets()),
                zero: [0; 8],
            };
            if connect_raw(fd, &target, size_of::<Address>() as u32) != 0 {
                return Err(io::Error::last_os_error());
            }
            Ok(stream)
        }
    }
}
