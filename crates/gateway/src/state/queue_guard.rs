use std::time::Duration;

use base::TimeSpan;
use entry::{QueueTicket, TargetLoad};
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::gateway_state::QueueAnswer;
use super::{GatewayCore, PlacementRefusal};

/// Keeps a call in the queue; dropping it removes the call, also when its caller goes away.
pub struct QueueGuard<'a> {
    core: &'a GatewayCore,
    ticket: QueueTicket,
    load: TargetLoad,
    receiver: oneshot::Receiver<QueueAnswer>,
    /// Whether the wait ended without an answer, so that the call may return.
    is_expired: bool,
}

impl<'a> QueueGuard<'a> {
    /// Creates the guard of a call that was added to the queue.
    pub fn new(
        core: &'a GatewayCore,
        ticket: QueueTicket,
        load: TargetLoad,
        receiver: oneshot::Receiver<QueueAnswer>,
    ) -> Self {
        Self {
            core,
            ticket,
            load,
            receiver,
            is_expired: false,
        }
    }

    /// Waits until the call is placed on a target, which then counts its load, for at most
    /// `max_wait`.
    ///
    /// # Errors
    /// If the service has no target, none has capacity in time, or all asked this node to back off.
    pub async fn wait(mut self, max_wait: TimeSpan) -> QueueAnswer {
        match timeout(Duration::from(max_wait), &mut self.receiver).await {
            Ok(Ok(answer)) => answer,
            // The sender stays with the waiter until it is used, so both mean that time ran out.
            Ok(Err(_)) | Err(_) => {
                self.is_expired = true;
                Err(PlacementRefusal::Full)
            }
        }
    }
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let unused = self.receiver.try_recv();
        self.core.with_state(|state, now| {
            match self.is_expired {
                true => state.queue.leave(now, self.ticket),
                false => state.queue.abandon(now, self.ticket),
            }
            state.waiters.retain(|waiter| waiter.ticket != self.ticket);
            if let Ok(Ok(placed)) = unused {
                state.undo_placement(placed.grant_id, &placed.target, self.load);
            }
            state.serve_queue(now);
        });
    }
}
