use base::{ClockTime, NodeName};

use super::{DomainReconciler, MessageBody, OrderMessage, ReconcilerAction};
use crate::{BlockReason, FencingNumber};

/// Number of ticks between repetitions of the failure summaries; each repetition goes to one peer.
const REPEAT_TICKS: u64 = 40;

/// Messages to the other reconcilers of the domain.
impl DomainReconciler {
    /// Asks all peers for their revisions while the view is stale, at most once per message
    /// interval.
    pub(super) fn request_revisions(&mut self, now: ClockTime, blocked: Option<BlockReason>) {
        let interval = self.settings.timing.message_interval;
        let waiting = self.hello_sent_at.is_some_and(|at| now - at < interval);
        if blocked != Some(BlockReason::StaleView) || waiting {
            return;
        }
        self.hello_sent_at = Some(now);
        for peer in self.peers() {
            self.send(peer, MessageBody::Hello(true));
        }
    }

    /// Sends the failure summaries to all peers when they changed, and repeats them to one peer
    /// after the other in case a message was lost.
    pub(super) fn send_failures(&mut self) {
        let peers = self.peers();
        let changed = !std::mem::replace(&mut self.failures_sent, true);
        let repeat = self.ticks.is_multiple_of(REPEAT_TICKS);
        if peers.is_empty() || !changed && !repeat {
            return;
        }
        let summaries = self.failures.summaries();
        if summaries.is_empty() {
            return;
        }
        let repeat_to = (self.ticks / REPEAT_TICKS) as usize % peers.len();
        for (at, peer) in peers.into_iter().enumerate() {
            if changed || at == repeat_to {
                self.send(peer, MessageBody::Failures(summaries.clone()));
            }
        }
    }

    /// The other live nodes of the domain.
    pub(super) fn peers(&self) -> Vec<NodeName> {
        let others = self
            .view
            .live
            .iter()
            .filter(|node| **node != self.settings.node);
        others.cloned().collect()
    }

    /// Number that outgoing messages carry; see [`OrderMessage::number`].
    pub(super) fn message_number(&self) -> FencingNumber {
        let revision = self.revision().unwrap_or_default();
        FencingNumber::new(revision, self.clock.time(), self.settings.incarnation)
    }

    /// Queues a message to a peer.
    pub(super) fn send(&mut self, to: NodeName, body: MessageBody) {
        let number = self.message_number();
        let message = OrderMessage { number, body };
        self.actions.push(ReconcilerAction::Send { to, message });
    }
}
