use std::sync::Arc;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};
use web::PooledConnection;

use super::PeerResponse;
use crate::GatewayCore;
use crate::relay::{AccessEntry, ChunkOutcome, ResponseSender};

/// Passes the events of a forwarded generation on as they arrive from the peer.
pub struct ForwardedStream {
    core: Arc<GatewayCore>,
    access_entry: AccessEntry,
    body: Incoming,
    connection: PooledConnection,
    sender: ResponseSender,
    deadline: Instant,
}

impl ForwardedStream {
    /// Creates the relay of a peer's response whose head arrived.
    pub fn new(
        core: Arc<GatewayCore>,
        access_entry: AccessEntry,
        answered: PeerResponse,
        sender: ResponseSender,
        deadline: Instant,
    ) -> Self {
        Self {
            core,
            access_entry,
            body: answered.response.into_body(),
            connection: answered.connection,
            sender,
            deadline,
        }
    }

    /// Relays the stream to its end.
    pub async fn run(mut self) {
        self.core.with_state(|state, _| state.active_streams += 1);
        let (outcome, reason) = self.relay().await;
        if outcome == "answered" {
            self.sender.complete();
        }
        self.access_entry.add_reason(reason);
        self.access_entry.set_stream_outcome(outcome);
        drop(self.connection);
        self.core.with_state(|state, _| state.active_streams -= 1);
    }

    async fn relay(&mut self) -> (&'static str, &'static str) {
        const LATE: (&str, &str) = ("deadline_exceeded", "deadline passed during the stream");
        const CALLER_GONE: (&str, &str) = ("caller_gone", "caller closed the stream");
        loop {
            let frame = timeout_at(self.deadline, self.body.frame());
            let frame = match self.sender.while_open(frame).await {
                Some(Ok(frame)) => frame,
                Some(Err(_)) => return LATE,
                None => return CALLER_GONE,
            };
            let chunk = match frame {
                // A peer that breaks a stream off ends its body with an error.
                None => return ("answered", "stream of a peer"),
                Some(Err(_)) => return ("generation_lost", "the peer broke the stream off"),
                Some(Ok(frame)) => frame.into_data(),
            };
            let Ok(chunk) = chunk else { continue };
            self.access_entry.record_first_byte();
            self.access_entry.record_event();
            match self.sender.send(chunk, self.deadline).await {
                ChunkOutcome::Queued => {}
                ChunkOutcome::CallerGone => return CALLER_GONE,
                ChunkOutcome::TimedOut => return LATE,
            }
        }
    }
}
