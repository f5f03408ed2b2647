//! A requester: keeps a connection open, sends requests on it and reads their answers.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::{Conn, Lab, header_map};

/// What a requester saw of the answer to one request.
#[derive(Clone, Debug)]
pub struct Answer {
    pub request: String,
    pub sent_at: u64,
    pub ended_at: u64,
    /// Status; 0 if the connection ended before the head.
    pub status: u16,
    /// Whether the answer is whole.
    pub is_complete: bool,
    /// Numbers of the events, in the order in which they came.
    pub events: Vec<u64>,
}

pub struct Requester {
    pub conn: Conn,
    lab: Lab,
    host: String,
    key: String,
}

/// A request to send.
pub struct Sent<'a> {
    pub method: &'a str,
    pub path: &'a str,
    /// Tokens of the prompt and the largest number of output tokens.
    pub tokens: Option<(u64, u64)>,
    pub budget_ms: u64,
    pub body: &'a str,
}

impl Requester {
    pub fn connect(lab: &Lab, front: SocketAddr, host: &str, key: &str) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
        Ok(Self {
            conn: Conn::new(stream),
            lab: lab.clone(),
            host: host.to_owned(),
            key: key.to_owned(),
        })
    }

    /// Sends a request; returns its identifier and when it was sent.
    pub fn send(&mut self, sent: &Sent<'_>) -> io::Result<(String, u64)> {
        let id = format!(
            "{:016x}",
            0x9c41_0000_0000_0000_u64 | self.lab.next_number()
        );
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nRequest-Attempt-Id: {id}\r\nDeadline-Remaining: {}\r\nApi-Key: {}\r\nContent-Length: {}\r\n",
            sent.method,
            sent.path,
            self.host,
            sent.budget_ms,
            self.key,
            sent.body.len(),
        );
        if let Some((prompt, limit)) = sent.tokens {
            text.push_str(&format!(
                "Model: m\r\nToken-Counts: {prompt},{limit}\r\nPrompt-Prefix: {id}:{prompt}\r\n"
            ));
        }
        text.push_str("\r\n");
        text.push_str(sent.body);
        self.conn.stream.write_all(text.as_bytes())?;
        let at = self.lab.record.add(format!(
            "requester sends {id}: {} {}",
            sent.method, sent.path
        ));
        Ok((id, at))
    }

    /// Reads the answer to its end, or to the end of the connection. `on_event` gets the number of each
    /// event, and ends the wait by returning false, as a requester that leaves.
    pub fn read(
        &mut self,
        id: &str,
        sent_at: u64,
        mut on_event: impl FnMut(u64) -> bool,
    ) -> Answer {
        let mut answer = Answer {
            request: id.to_owned(),
            sent_at,
            ended_at: 0,
            status: 0,
            is_complete: false,
            events: Vec::new(),
        };
        let _ = self.read_parts(&mut answer, &mut on_event);
        let events = match answer.events.last() {
            Some(last) => format!(", {} events up to {last}", answer.events.len()),
            None => String::new(),
        };
        let whole = if answer.is_complete {
            "complete"
        } else {
            "NOT complete"
        };
        answer.ended_at = self.lab.record.add(format!(
            "requester's answer to {id} ends: status {}, {whole}{events}",
            answer.status
        ));
        answer
    }

    fn read_parts(
        &mut self,
        answer: &mut Answer,
        on_event: &mut impl FnMut(u64) -> bool,
    ) -> io::Result<()> {
        let Some((line, headers)) = self.conn.read_head()? else {
            return Ok(());
        };
        answer.status = line
            .split(' ')
            .nth(1)
            .and_then(|word| word.parse().ok())
            .unwrap_or(0);
        let names = header_map(&headers);
        if names
            .get("transfer-encoding")
            .is_none_or(|value| value != "chunked")
        {
            self.conn.read_body(&headers)?;
            answer.is_complete = true;
            return Ok(());
        }
        let mut text = String::new();
        while let Some(chunk) = self.conn.read_chunk()? {
            text.push_str(&String::from_utf8_lossy(&chunk));
            while let Some(end) = text.find("\n\n") {
                let event: String = text.drain(..end + 2).collect();
                let number = event
                    .lines()
                    .find_map(|line| line.strip_prefix("id: "))
                    .and_then(|word| word.parse().ok())
                    .unwrap_or(0);
                answer.events.push(number);
                if !on_event(number) {
                    return Ok(());
                }
            }
        }
        answer.is_complete = text.is_empty();
        Ok(())
    }
}
