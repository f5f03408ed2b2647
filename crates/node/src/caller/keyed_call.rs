use std::sync::Arc;

use base::ErrorKind;
use calls::{CallFailure, CallOutcome, RetainedAnswer};
use tokio::sync::oneshot;

use super::active_call::ActiveCall;
use super::{CallInput, RequestError};
use crate::{ClaimDecision, ClaimRequest, NodeCore, SharedAnswer};

/// What to respond to a call with an idempotency key.
pub enum KeyedOutcome {
    /// An answer that is being written by this call or by an earlier one.
    Shared(SharedAnswer),
    /// The retained answer of an earlier call.
    Retained(Arc<RetainedAnswer>),
    /// Forward the call to this node, and only to this incarnation of it if one is named.
    Forward(base::NodeName, Option<base::IncarnationNumber>),
    /// An error.
    Failed(RequestError),
}

/// Decides what to do with a call that has an idempotency key, and runs it if it is the first one.
///
/// Both happen in a separate task: if the caller disconnects, the decision and the call are still
/// completed, and the caller gets the answer when it sends the call again.
pub async fn run_keyed_call<F>(
    core: Arc<NodeCore>,
    input: &CallInput,
    key: &str,
    make: F,
) -> KeyedOutcome
where
    F: FnOnce() -> Result<ActiveCall, RequestError> + Send + 'static,
{
    let request = ClaimRequest {
        workspace: input.workspace.name.clone(),
        key: key.to_owned(),
        request_hash: input.body_hash(),
        hops: input.hops,
    };
    let (reply, answer) = oneshot::channel();
    tokio::spawn(decide_and_run(core, request, input.clone(), make, reply));
    answer
        .await
        .unwrap_or_else(|_| KeyedOutcome::Failed(CallFailure::new(ErrorKind::Internal).into()))
}

async fn decide_and_run<F>(
    core: Arc<NodeCore>,
    request: ClaimRequest,
    input: CallInput,
    make: F,
    reply: oneshot::Sender<KeyedOutcome>,
) where
    F: FnOnce() -> Result<ActiveCall, RequestError> + Send,
{
    let decision = core.claims.decide(&request).await;
    let (id, shared) = match decision {
        ClaimDecision::Run(id, shared) => (id, shared),
        other => {
            // Fails if the caller disconnected, which then needs no answer.
            let _ = reply.send(into_outcome(other));
            return;
        }
    };
    let call = match make() {
        Ok(call) => call,
        Err(error) => {
            shared.fail(error.failure);
            core.claims.finish(id, CallOutcome::NotRun);
            let _ = reply.send(KeyedOutcome::Failed(error.mark_from_key_owner()));
            return;
        }
    };
    let _ = reply.send(KeyedOutcome::Shared(shared.clone()));
    let outcome = call.write_to(&core, &input, &shared).await;
    core.claims.finish(id, outcome);
}

fn into_outcome(decision: ClaimDecision) -> KeyedOutcome {
    match decision {
        ClaimDecision::Run(_, shared) | ClaimDecision::Join(shared) => KeyedOutcome::Shared(shared),
        ClaimDecision::Replay(answer) => KeyedOutcome::Retained(answer),
        ClaimDecision::Forward(node, incarnation) => KeyedOutcome::Forward(node, incarnation),
        ClaimDecision::Fail(failure) => {
            KeyedOutcome::Failed(RequestError::from(failure).mark_from_key_owner())
        }
    }
}
