use std::time::Duration;

use base::TimeSpan;
use entry::{QueueTicket, TargetLoad};
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::gateway_state::LineAnswer;
use super::{GatewayCore, PlaceRefusal};

/// Place of a call in the line; left when its wait ends, also if its caller goes away.
pub struct LinePlace<'a> {
    core: &'a GatewayCore,
    ticket: QueueTicket,
    load: TargetLoad,
    receiver: oneshot::Receiver<LineAnswer>,
}

impl<'a> LinePlace<'a> {
    /// Creates the place of a call that joined the line.
    pub fn new(
        core: &'a GatewayCore,
        ticket: QueueTicket,
        load: TargetLoad,
        receiver: oneshot::Receiver<LineAnswer>,
    ) -> Self {
        Self {
            core,
            ticket,
            load,
            receiver,
        }
    }

    /// Waits for room on a target; the load is on the board when there is one.
    ///
    /// # Errors
    /// If no target has room in time, or all want quiet.
    pub async fn wait(mut self, patience: TimeSpan) -> LineAnswer {
        match timeout(Duration::from(patience), &mut self.receiver).await {
            Ok(Ok(answer)) => answer,
            // The sender stays in the line until it is used, so both mean that time ran out.
            Ok(Err(_)) | Err(_) => Err(PlaceRefusal::Full),
        }
    }
}

impl Drop for LinePlace<'_> {
    fn drop(&mut self) {
        let unused = self.receiver.try_recv();
        self.core.with_state(|state, now| {
            state.line.remove(self.ticket);
            state.waiters.retain(|waiter| waiter.ticket != self.ticket);
            if let Ok(Ok(grant)) = unused {
                state.give_back(grant.id, &grant.target, self.load);
            }
            state.serve_line(now);
        });
    }
}
