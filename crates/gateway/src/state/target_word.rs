use std::sync::Arc;

use base::{EventKind, IncarnationNumber, TargetName, TimeSpan};
use entry::{LeaveWord, NodeFact, TargetChanges};

use super::GatewayCore;
use crate::QuietAsk;
use crate::relay::end_run;

/// Quiet time of a target that asks for it in a form that can't be read.
const UNCLEAR_QUIET: TimeSpan = TimeSpan::from_secs(1);

/// What targets and peers say of targets.
impl GatewayCore {
    /// Makes known what new entries of targets change, or the lack of old ones.
    pub(super) fn announce(self: &Arc<Self>, changes: &TargetChanges, from: &str) {
        self.announce_leaving(&changes.leaving, from);
        for run in &changes.ended {
            end_run(self, run);
        }
    }

    /// Makes known that targets leave, so that generations move off them.
    fn announce_leaving(&self, leaving: &[TargetName], from: &str) {
        for target in leaving {
            log::info!(
                event = EventKind::TargetLeaving.number(),
                node = self.node().as_str(),
                target = target.as_str(),
                from = from;
                "target gets no new work"
            );
        }
        if !leaving.is_empty() {
            self.with_state(|state, now| state.open_turns(now, leaving));
            self.wake_pumps();
        }
    }

    /// Takes the word of a target itself that it leaves; `from` tells where it said so.
    pub fn take_leaving(&self, target: &TargetName, incarnation: IncarnationNumber, from: &str) {
        let is_new = self.with_state(|state, now| {
            state.facts.note_leaving(now, target, incarnation);
            state.board.mark_leaving(target, incarnation)
        });
        if is_new {
            self.announce_leaving(std::slice::from_ref(target), from);
        }
    }

    /// Sends a run of a target nothing for the time that it asked for.
    pub fn take_quiet(&self, target: &TargetName, incarnation: IncarnationNumber, ask: &QuietAsk) {
        let (span, asked) = match ask {
            QuietAsk::For(span) => (*span, span.to_string()),
            QuietAsk::Unclear(text) => (UNCLEAR_QUIET, text.to_string()),
        };
        let counted = self.with_state(|state, now| {
            let ask = state.board.start_backoff(now, target, incarnation, span);
            state.serve_line(now);
            ask
        });
        log::info!(
            event = EventKind::TargetQuiet.number(),
            node = self.node().as_str(),
            target = target.as_str(),
            asked = asked.as_str(),
            quiet_ms = counted.unwrap_or_default().as_millis();
            "target wants nothing for a while"
        );
    }

    /// Lets facts take effect that a peer told.
    pub fn take_facts(&self, news: &[NodeFact]) {
        let leaving = self.with_state(|state, now| {
            let mut leaving = Vec::new();
            for fact in news {
                match fact {
                    NodeFact::Leaving(LeaveWord {
                        target,
                        incarnation,
                        ..
                    }) => {
                        let is_leaving = state.facts.is_leaving(now, target, *incarnation);
                        if is_leaving && state.board.mark_leaving(target, *incarnation) {
                            leaving.push(target.clone());
                        }
                    }
                    NodeFact::Stayed(LeaveWord {
                        target,
                        incarnation,
                        ..
                    }) => {
                        if !state.facts.is_leaving(now, target, *incarnation) {
                            state.board.cancel_leaving(target, *incarnation);
                        }
                    }
                    // The book judges calls by them.
                    NodeFact::Crashed(_) | NodeFact::Completed(_) => {}
                }
            }
            leaving
        });
        self.announce_leaving(&leaving, "facts of a peer");
    }
}
