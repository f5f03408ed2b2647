//! The little of HTTP/1.1 that the stand-ins need.

use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;

/// A request or response without its body.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// First line.
    pub line: String,
    /// Names in lower case, with their values.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(known, _)| known == name);
        found.next().map(|(_, value)| value.as_str())
    }

    /// Word of the first line.
    pub fn word(&self, at: usize) -> &str {
        self.line.split(' ').nth(at).unwrap_or("")
    }

    /// Status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    /// `Content-Length`.
    pub fn length(&self) -> Option<usize> {
        self.get("content-length")?.parse().ok()
    }

    /// Whether the body comes in chunks.
    pub fn is_chunked(&self) -> bool {
        self.get("transfer-encoding")
            .is_some_and(|value| value.contains("chunked"))
    }
}

/// Reads a head; `None` if the connection ended before it.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Head> {
    let mut head = Head::default();
    loop {
        let mut text = String::new();
        if reader.read_line(&mut text).ok()? == 0 {
            return None;
        }
        let text = text.trim_end();
        if text.is_empty() {
            if head.line.is_empty() {
                continue;
            }
            return Some(head);
        }
        if head.line.is_empty() {
            head.line = text.to_owned();
            continue;
        }
        if let Some((name, value)) = text.split_once(':') {
            head.headers
                .push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a request body, which has a length or chunks, or is empty.
pub fn read_request_body(reader: &mut BufReader<TcpStream>, head: &Head) -> Option<Vec<u8>> {
    if head.is_chunked() {
        let mut body = Vec::new();
        while let Some(chunk) = read_chunk(reader)? {
            body.extend_from_slice(&chunk);
        }
        return Some(body);
    }
    let mut body = vec![0; head.length().unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

/// Reads one chunk; `Some(None)` is the last one, `None` a broken body.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> Option<Option<Vec<u8>>> {
    let mut size = String::new();
    if reader.read_line(&mut size).ok()? == 0 {
        return None;
    }
    let size = usize::from_str_radix(size.trim(), 16).ok()?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk).ok()?;
    let mut end = String::new();
    reader.read_line(&mut end).ok()?;
    Some((size > 0).then_some(chunk))
}

/// Value of a parameter in the query of a path, with its escapes decoded.
pub fn query(path: &str, name: &str) -> Option<String> {
    let (_, query) = path.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .find(|(known, _)| *known == name)
        .map(|(_, value)| unescape(value))
}

/// Decodes `%XX`.
fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        let escape = after.get(..2).filter(|_| *first == b'%');
        let escape = escape.and_then(|digits| std::str::from_utf8(digits).ok());
        match escape.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                bytes.push(byte);
                rest = &after[2..];
            }
            None => {
                bytes.push(*first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Value of a text field of a flat JSON object; enough for the messages that the gateway sends.
pub fn json_text(body: &str, name: &str) -> Option<String> {
    let (_, rest) = body.split_once(&format!("\"{name}\":"))?;
    let rest = rest.trim_start().strip_prefix('"')?;
    rest.split('"').next().map(str::to_owned)
}
