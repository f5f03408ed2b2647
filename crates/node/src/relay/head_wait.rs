use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::{GenerationId, IncarnationNumber, RequestId};
use tokio::time::sleep;

use super::MoveTrigger;
use crate::{EngineClient, EngineError, EngineFuture, EngineProgress, EngineStream};

/// Time without a response head after which the engine is asked for the request on a fresh
/// connection, and time between two such requests.
const HEAD_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// What ended the wait for the response head.
pub enum HeadOutcome {
    /// The connection delivered a response head, or failed.
    Answered(Result<EngineStream, EngineError>),
    /// The connection is silent, although the engine runs this generation for the request.
    ConnectionSilent(GenerationId),
    /// The incarnation of the engine that the request was sent to is gone.
    TargetDied,
    /// The engine is leaving and the call should be moved to another one.
    TargetLeaving,
}

/// Wait for the response head of one request, during which the engine is also asked on fresh
/// connections whether it runs the request.
pub struct HeadWait {
    /// Client of the engine.
    pub engine: Arc<dyn EngineClient>,
    /// Address of the engine.
    pub address: Option<SocketAddr>,
    /// Id of the request.
    pub request: RequestId,
    /// Incarnation of the engine that the request was sent to, if known.
    pub incarnation: Option<IncarnationNumber>,
    /// Set if the call may be moved to another engine.
    pub move_trigger: Option<MoveTrigger>,
}

impl HeadWait {
    /// Waits until the response head arrives or a check on a fresh connection shows that it will
    /// not.
    pub async fn outcome(self, start: EngineFuture<'static, EngineStream>) -> HeadOutcome {
        tokio::select! {
            biased;
            answered = start => HeadOutcome::Answered(answered),
            () = self.wait_for_move() => HeadOutcome::TargetLeaving,
            found = self.check_engine() => found,
        }
    }

    async fn wait_for_move(&self) {
        match &self.move_trigger {
            Some(trigger) => trigger.wait().await,
            None => pending().await,
        }
    }

    async fn check_engine(&self) -> HeadOutcome {
        let Some(address) = self.address else {
            return pending().await;
        };
        loop {
            sleep(HEAD_CHECK_INTERVAL).await;
            let asked = self.engine.request_progress(address, self.request.clone());
            if let Some(outcome) = self.outcome_of_check(asked.await) {
                return outcome;
            }
        }
    }

    /// Returns the outcome that follows from a check; `None` if the wait goes on.
    ///
    /// A request that the same incarnation does not know may still be on its way to the engine.
    fn outcome_of_check(&self, found: Result<EngineProgress, EngineError>) -> Option<HeadOutcome> {
        match found {
            Ok(found)
                if self
                    .incarnation
                    .is_some_and(|sent_to| sent_to != found.incarnation) =>
            {
                Some(HeadOutcome::TargetDied)
            }
            Ok(found) => found.generation.map(HeadOutcome::ConnectionSilent),
            Err(EngineError::Refused) => Some(HeadOutcome::TargetDied),
            Err(_) => None,
        }
    }
}
