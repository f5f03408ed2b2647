use std::sync::Arc;

use base::ErrorKind;
use calls::{CallFailure, CallOutcome, RetainedAnswer};
use tokio::sync::oneshot;

use super::call_run::CallRun;
use super::{CallInput, InputFault};
use crate::{ClaimDecision, ClaimRequest, NodeCore, SharedAnswer};

/// What a caller with a key gets.
pub enum KeyedAnswer {
    /// Read this answer.
    Shared(SharedAnswer),
    /// The answer of an earlier attempt.
    Retained(Arc<RetainedAnswer>),
    /// Pass the call on.
    Forward(base::NodeName, Option<base::IncarnationNumber>),
    /// An error.
    Failed(InputFault),
}

/// Decides on a call with a key and runs it if it is the first one.
///
/// All of it happens in a task of its own: a caller that goes away leaves neither the decision
/// nor the run half done, and finds the answer when it sends the call again.
pub async fn answer_keyed<F>(
    core: Arc<NodeCore>,
    input: &CallInput,
    key: &str,
    make: F,
) -> KeyedAnswer
where
    F: FnOnce() -> Result<CallRun, InputFault> + Send + 'static,
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
        .unwrap_or_else(|_| KeyedAnswer::Failed(CallFailure::new(ErrorKind::Internal).into()))
}

async fn decide_and_run<F>(
    core: Arc<NodeCore>,
    request: ClaimRequest,
    input: CallInput,
    make: F,
    reply: oneshot::Sender<KeyedAnswer>,
) where
    F: FnOnce() -> Result<CallRun, InputFault> + Send,
{
    let decision = core.claims.decide(&request).await;
    let (id, shared) = match decision {
        ClaimDecision::Run(id, shared) => (id, shared),
        other => {
            // A caller that went away needs no answer.
            let _ = reply.send(into_answer(other));
            return;
        }
    };
    let run = match make() {
        Ok(run) => run,
        Err(fault) => {
            shared.fail(fault.failure);
            core.claims.finish(id, CallOutcome::NotRun);
            let _ = reply.send(KeyedAnswer::Failed(fault.with_decision()));
            return;
        }
    };
    let _ = reply.send(KeyedAnswer::Shared(shared.clone()));
    let outcome = run.write_to(&core, &input, &shared).await;
    core.claims.finish(id, outcome);
}

fn into_answer(decision: ClaimDecision) -> KeyedAnswer {
    match decision {
        ClaimDecision::Run(_, shared) | ClaimDecision::Join(shared) => KeyedAnswer::Shared(shared),
        ClaimDecision::Replay(answer) => KeyedAnswer::Retained(answer),
        ClaimDecision::Forward(node, run) => KeyedAnswer::Forward(node, run),
        ClaimDecision::Fail(failure) => {
            KeyedAnswer::Failed(InputFault::from(failure).with_decision())
        }
    }
}
