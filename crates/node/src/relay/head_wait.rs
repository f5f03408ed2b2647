use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::{GenerationId, IncarnationNumber, RequestId};
use tokio::time::sleep;

use super::LeaveWatch;
use crate::{EngineClient, EngineError, EngineFuture, EngineProgress, EngineStream};

/// Time without a response head after which the engine is asked on a fresh connection.
const HEAD_QUIET: Duration = Duration::from_secs(2);

/// What ended the wait for a response head.
pub enum HeadOutcome {
    /// The connection gave an answer or failed.
    Answered(Result<EngineStream, EngineError>),
    /// The connection is silent, while the engine answers the request with this generation.
    Silent(GenerationId),
    /// The run of the engine that the request was sent to is gone.
    Died,
    /// The engine is about to be taken away and the call may be moved.
    Reclaimed,
}

/// Waits for the response head of one request.
pub struct HeadWait {
    /// Client of the engine.
    pub engine: Arc<dyn EngineClient>,
    /// Address of the engine.
    pub address: Option<SocketAddr>,
    /// The request.
    pub request: RequestId,
    /// Run of the engine that the request was sent to, if known.
    pub run: Option<IncarnationNumber>,
    /// Set if the call may be moved.
    pub leave: Option<LeaveWatch>,
}

impl HeadWait {
    /// Waits until the engine answered or another connection tells that it never will.
    pub async fn outcome(self, start: EngineFuture<'static, EngineStream>) -> HeadOutcome {
        tokio::select! {
            biased;
            answered = start => HeadOutcome::Answered(answered),
            () = self.reclaimed() => HeadOutcome::Reclaimed,
            found = self.ask_engine() => found,
        }
    }

    async fn reclaimed(&self) {
        match &self.leave {
            Some(leave) => leave.reclaimed().await,
            None => pending().await,
        }
    }

    async fn ask_engine(&self) -> HeadOutcome {
        let Some(address) = self.address else {
            return pending().await;
        };
        loop {
            sleep(HEAD_QUIET).await;
            let asked = self.engine.request_progress(address, self.request.clone());
            if let Some(outcome) = self.judge(asked.await) {
                return outcome;
            }
        }
    }

    /// A request that the same run does not know yet may still be on its way.
    fn judge(&self, found: Result<EngineProgress, EngineError>) -> Option<HeadOutcome> {
        match found {
            Ok(found) if self.run.is_some_and(|run| run != found.incarnation) => {
                Some(HeadOutcome::Died)
            }
            Ok(found) => found.generation.map(HeadOutcome::Silent),
            Err(EngineError::Refused) => Some(HeadOutcome::Died),
            Err(_) => None,
        }
    }
}
