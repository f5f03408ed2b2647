use base::{GenerationId, TimeSpan, TokenCount};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;
use web::{ConnectionPool, EventFrame, EventSplitter, PooledSender};

use super::{EngineError, EngineEvent};

/// Maximum length in bytes of one event in a stream.
const EVENT_LIMIT: usize = 1 << 20;

/// Reads the events of one generation from the body of an HTTP response.
pub struct EngineStream {
    body: Incoming,
    splitter: EventSplitter,
    generation: Option<GenerationId>,
    pool: ConnectionPool,
    connection: Option<PooledSender>,
}

impl EngineStream {
    /// Creates the stream for a response body; the connection is released to `pool` at its end.
    pub fn new(
        body: Incoming,
        generation: Option<GenerationId>,
        pool: ConnectionPool,
        connection: PooledSender,
    ) -> Self {
        Self {
            body,
            splitter: EventSplitter::new(EVENT_LIMIT),
            generation,
            pool,
            connection: Some(connection),
        }
    }

    /// Id of the generation, if the engine has sent it in the response head or with an event.
    pub fn generation(&self) -> Option<&GenerationId> {
        self.generation.as_ref()
    }

    /// Returns the next event from the data received so far; `None` if more must be read first.
    ///
    /// # Errors
    /// `Protocol` if the data are not events of a generation.
    pub fn next_buffered(&mut self) -> Result<Option<EngineEvent>, EngineError> {
        while let Some(block) = self.splitter.next_block() {
            if let Some(event) = self.parse_block(&block)? {
                return Ok(Some(event));
            }
        }
        if self.splitter.is_overfull() {
            return protocol_error("event is too long");
        }
        Ok(None)
    }

    /// Waits for more data of the body; `Ok(false)` means that the body has ended.
    ///
    /// # Errors
    /// `Silent` if nothing arrives within `wait`, `ConnectionLost` if the connection fails.
    pub async fn read_more(&mut self, wait: TimeSpan) -> Result<bool, EngineError> {
        let Ok(next) = timeout(wait.into(), self.body.frame()).await else {
            return Err(EngineError::Silent);
        };
        match next {
            None => {
                self.release_connection();
                Ok(false)
            }
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    self.splitter.push(data);
                }
                Ok(true)
            }
            Some(Err(error)) => Err(EngineError::ConnectionLost {
                reason: error.to_string(),
            }),
        }
    }

    fn release_connection(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.release(connection);
        }
    }

    /// Parses one server-sent event; `None` for events that carry no data and for `[DONE]`.
    fn parse_block(&mut self, block: &Bytes) -> Result<Option<EngineEvent>, EngineError> {
        let frame = EventFrame::parse(block);
        let Some(data) = frame.data else {
            return Ok(None);
        };
        if data == b"[DONE]" {
            return Ok(None);
        }
        let Some((generation, offset)) = frame.id.and_then(split_id) else {
            return protocol_error("event without generation and offset");
        };
        let generation = self.intern_generation(generation)?;
        let data = block.slice_ref(data);
        Ok(Some(match frame.name {
            Some(b"end") => EngineEvent::End {
                generation,
                count: TokenCount(offset),
                data,
            },
            _ => EngineEvent::Token {
                generation,
                offset,
                data,
            },
        }))
    }

    /// Parses a generation id, reusing that of the last event because it is nearly always the same.
    fn intern_generation(&mut self, bytes: &[u8]) -> Result<GenerationId, EngineError> {
        if let Some(known) = &self.generation
            && known.as_str().as_bytes() == bytes
        {
            return Ok(known.clone());
        }
        let text = std::str::from_utf8(bytes).unwrap_or_default();
        match text.parse::<GenerationId>() {
            Ok(generation) => {
                self.generation = Some(generation.clone());
                Ok(generation)
            }
            Err(error) => protocol_error(error.to_string()),
        }
    }
}

/// Splits an event id of the form `GENERATION:OFFSET`.
fn split_id(id: &[u8]) -> Option<(&[u8], u32)> {
    let colon = memchr::memrchr(b':', id)?;
    let offset = std::str::from_utf8(&id[colon + 1..]).ok()?;
    Some((&id[..colon], offset.parse().ok()?))
}

fn protocol_error<T>(reason: impl Into<String>) -> Result<T, EngineError> {
    Err(EngineError::Protocol {
        reason: reason.into(),
    })
}
