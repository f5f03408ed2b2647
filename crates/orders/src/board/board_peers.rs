use base::{ClockTime, NodeName};

use super::{BoardAction, MessageBody, OrderBoard, OrderMessage};
use crate::{BlockReason, FencingNumber};

/// Ticks between two messages that repeat the failures to one peer.
const REPEAT_TICKS: u64 = 40;

/// Messages to the other boards of the domain.
impl OrderBoard {
    pub(super) fn ask_hello(&mut self, now: ClockTime, blocked: Option<BlockReason>) {
        let gap = self.settings.timing.message_gap;
        let waiting = self.hello_at.is_some_and(|at| now - at < gap);
        if blocked != Some(BlockReason::StaleView) || waiting {
            return;
        }
        self.hello_at = Some(now);
        for peer in self.peers() {
            self.send(peer, MessageBody::Hello(true));
        }
    }

    /// News go to all peers, then to one after the other in case a message was lost.
    pub(super) fn tell_failures(&mut self) {
        let peers = self.peers();
        let news = !std::mem::replace(&mut self.told_failures, true);
        let repeat = self.ticks.is_multiple_of(REPEAT_TICKS);
        if peers.is_empty() || !news && !repeat {
            return;
        }
        let summaries = self.failures.summaries();
        if summaries.is_empty() {
            return;
        }
        let turn = (self.ticks / REPEAT_TICKS) as usize % peers.len();
        for (at, peer) in peers.into_iter().enumerate() {
            if news || at == turn {
                self.send(peer, MessageBody::Failures(summaries.clone()));
            }
        }
    }

    pub(super) fn peers(&self) -> Vec<NodeName> {
        let others = self
            .view
            .live
            .iter()
            .filter(|node| **node != self.settings.node);
        others.cloned().collect()
    }

    pub(super) fn number(&self) -> FencingNumber {
        let revision = self.revision().unwrap_or_default();
        FencingNumber::new(revision, self.clock.time(), self.settings.incarnation)
    }

    pub(super) fn send(&mut self, to: NodeName, body: MessageBody) {
        let number = self.number();
        let message = OrderMessage { number, body };
        self.actions.push(BoardAction::Send { to, message });
    }
}
