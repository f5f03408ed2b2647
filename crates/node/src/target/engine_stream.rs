use base::{GenerationId, TimeSpan, TokenCount};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;
use web::{ConnectionPool, EventFrame, EventSplitter, PooledConnection};

use super::{EngineEvent, EngineFault};

/// Longest event of an engine in bytes.
const EVENT_LIMIT: usize = 1 << 20;

/// Events of one generation on one connection.
pub struct EngineStream {
    body: Incoming,
    splitter: EventSplitter,
    generation: Option<GenerationId>,
    pool: ConnectionPool,
    connection: Option<PooledConnection>,
}

impl EngineStream {
    /// Creates the stream of a response whose connection returns to `pool` after the last event.
    pub fn new(
        body: Incoming,
        generation: Option<GenerationId>,
        pool: ConnectionPool,
        connection: PooledConnection,
    ) -> Self {
        Self {
            body,
            splitter: EventSplitter::new(EVENT_LIMIT),
            generation,
            pool,
            connection: Some(connection),
        }
    }

    /// Generation that the engine named, in the response head or with an event.
    pub fn generation(&self) -> Option<&GenerationId> {
        self.generation.as_ref()
    }

    /// Returns the next event that has already arrived.
    ///
    /// # Errors
    /// `Protocol` if the engine sent something else than events of a generation.
    pub fn next_ready(&mut self) -> Result<Option<EngineEvent>, EngineFault> {
        while let Some(block) = self.splitter.next_block() {
            if let Some(event) = self.read_block(&block)? {
                return Ok(Some(event));
            }
        }
        if self.splitter.exceeds_limit() {
            return protocol_error("event is too long");
        }
        Ok(None)
    }

    /// Waits for the next part of the body; `Ok(false)` means that the body ended.
    ///
    /// # Errors
    /// `Silent` if nothing arrives within `wait`, `Lost` if the connection fails.
    pub async fn fill(&mut self, wait: TimeSpan) -> Result<bool, EngineFault> {
        let Ok(next) = timeout(wait.into(), self.body.frame()).await else {
            return Err(EngineFault::Silent);
        };
        match next {
            None => {
                self.give_back();
                Ok(false)
            }
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    self.splitter.push(data);
                }
                Ok(true)
            }
            Some(Err(error)) => Err(EngineFault::Lost {
                reason: error.to_string(),
            }),
        }
    }

    fn give_back(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.release(connection);
        }
    }

    fn read_block(&mut self, block: &Bytes) -> Result<Option<EngineEvent>, EngineFault> {
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

    /// Reuses the identifier of the last event, as it is nearly always the same.
    fn intern_generation(&mut self, bytes: &[u8]) -> Result<GenerationId, EngineFault> {
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

fn split_id(id: &[u8]) -> Option<(&[u8], u32)> {
    let colon = memchr::memrchr(b':', id)?;
    let offset = std::str::from_utf8(&id[colon + 1..]).ok()?;
    Some((&id[..colon], offset.parse().ok()?))
}

fn protocol_error<T>(reason: impl Into<String>) -> Result<T, EngineFault> {
    Err(EngineFault::Protocol {
        reason: reason.into(),
    })
}
