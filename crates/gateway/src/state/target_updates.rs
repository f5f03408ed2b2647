use std::sync::Arc;

use base::{CallRate, ClockTime, EventKind, IncarnationNumber, TargetName, TimeSpan};
use entry::{LeaveNotice, NamedRate, RateRecord, RunEnd, TargetChanges, TargetFact, TargetRate};

use super::GatewayCore;
use crate::peer::PushScope;
use crate::rate::acquire_permit;
use crate::relay::check_ended_run;
use crate::{BackoffRequest, RateNotice};

/// Backoff of a target that asks for one in a form that can't be read.
const DEFAULT_BACKOFF: TimeSpan = TimeSpan::from_secs(1);
/// Rate of a target that names one in a form that can't be read and named none before.
const UNREADABLE_RATE: CallRate = CallRate(1_000);

/// Handles what the platform, targets and peers report about targets.
impl GatewayCore {
    /// Acts on changes of target records: generations move off leaving targets, and calls that were
    /// open on runs that ended are recorded as possible causes if the target died. `from` names the
    /// source of the changes.
    pub(super) fn handle_target_changes(self: &Arc<Self>, changes: &TargetChanges, from: &str) {
        self.handle_leaving(&changes.leaving, from);
        for run in &changes.ended {
            check_ended_run(self, run);
        }
    }

    /// Logs that targets started to leave and schedules the moves of generations off them.
    fn handle_leaving(self: &Arc<Self>, leaving: &[TargetName], from: &str) {
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
            self.with_state(|state, now| state.schedule_moves(now, leaving));
            self.recheck_moves();
            self.fetch_engine_ends(leaving);
        }
    }

    /// Asks engines that leave once when they end: the coordinator of their failure domain does, for
    /// all nodes that move generations off them.
    fn fetch_engine_ends(self: &Arc<Self>, leaving: &[TargetName]) {
        for target in leaving {
            let record = self.with_state(|state, now| {
                let record = state.balancer.target(target)?.record.clone();
                let spec = state.view.config.as_ref()?.service(&record.service)?;
                let can_move = spec.engine.is_some_and(|engine| engine.can_move);
                let is_asked_here =
                    can_move && record.domain == self.settings.domain && state.is_coordinator(now);
                is_asked_here.then_some(record)
            });
            let Some(record) = record else {
                continue;
            };
            let core = self.clone();
            tokio::spawn(async move {
                let permit = acquire_permit(&core, &record.name, record.incarnation).await;
                let may_poll =
                    core.with_state(|state, _| state.may_poll(&record.name, record.incarnation));
                if permit.is_err() || !may_poll {
                    return;
                }
                let report = core.ports.engines.fetch_report(record.address).await;
                if let Some(left) = report.ok().and_then(|report| report.leaves_in) {
                    core.with_state(|state, now| state.record_engine_end(&record.name, now + left));
                }
            });
        }
    }

    /// Records that a run of a target announced itself that it is leaving; `from` names the message
    /// that said so.
    pub fn mark_target_leaving(
        self: &Arc<Self>,
        target: &TargetName,
        incarnation: IncarnationNumber,
        from: &str,
    ) {
        let (is_told, is_new) = self.with_state(|state, now| {
            // Peers with generations there would learn of it only when they ask the engine
            // themselves, or when they compare facts, which takes a good part of the notice.
            let notice = state.facts.leave_notice(now, target, incarnation);
            let is_told = state.facts.record_leaving(now, target, incarnation);
            if is_told {
                let fact = TargetFact::Leaving(notice);
                state.outbox.push(PushScope::Fleet, fact);
            }
            (is_told, state.balancer.mark_leaving(target, incarnation))
        });
        if is_told {
            self.recheck_blame();
        }
        if is_new {
            self.handle_leaving(std::slice::from_ref(target), from);
        }
    }

    /// Sends nothing more to a run of a target that ended although it is still listed; `from` names
    /// what showed it.
    pub fn end_target_run(
        self: &Arc<Self>,
        target: &TargetName,
        incarnation: IncarnationNumber,
        from: &str,
    ) {
        let changes = self.with_state(|state, now| {
            let end = RunEnd {
                target: target.clone(),
                incarnation,
            };
            state.facts.record_end(now, end);
            state.balancer.mark_ended(target, incarnation)
        });
        self.handle_target_changes(&changes, from);
    }

    /// Stops sending calls to a run of a target for the time that it asked for.
    pub fn start_target_backoff(
        &self,
        target: &TargetName,
        incarnation: IncarnationNumber,
        ask: &BackoffRequest,
    ) {
        let (span, asked) = match ask {
            BackoffRequest::For(span) => (*span, span.to_string()),
            BackoffRequest::Unparsable(text) => (DEFAULT_BACKOFF, text.to_string()),
        };
        let applied = self.with_state(|state, now| {
            let applied = state.balancer.start_backoff(now, target, incarnation, span);
            state.serve_queue(now);
            applied
        });
        log::info!(
            event = EventKind::TargetQuiet.number(),
            node = self.node().as_str(),
            target = target.as_str(),
            asked = asked.as_str(),
            quiet_ms = applied.as_millis();
            "target asked this node to back off"
        );
    }

    /// Records the rate of calls that a response of a run of a target names; the request of the
    /// response was sent at `sent_at`.
    pub fn record_target_rate(
        &self,
        target: &TargetName,
        incarnation: IncarnationNumber,
        notice: &RateNotice,
        sent_at: ClockTime,
    ) {
        if let RateNotice::Unparsable(text) = notice {
            self.log_unreadable_rate(target, incarnation, text);
        }
        let record = self.with_state(|state, now| {
            let rate = state.balancer.rate_mut(target, incarnation)?;
            let named = match notice {
                RateNotice::Unlimited => None,
                RateNotice::Limited(named) => Some(*named),
                RateNotice::Unparsable(_) => Some(rate.limit().unwrap_or(UNREADABLE_RATE)),
            };
            let observed = rate.observe(now, sent_at, named);
            let known = rate.record()?;
            let fact = NamedRate {
                target: target.clone(),
                incarnation,
                record: known,
            };
            if observed.is_some() {
                state.facts.record_rate(now, fact);
            } else if known.rate.is_some() && state.facts.is_rate_expiring(now, &fact) {
                let record = rate.renew(now);
                state.facts.record_rate(now, NamedRate { record, ..fact });
            }
            observed
        });
        if let Some(record) = record {
            self.log_target_rate(target, record, "answer");
        }
    }

    /// Adopts the rate of calls of a run of a target that another node recorded, if it is newer;
    /// `from` names the message that told it.
    pub fn adopt_target_rate(
        &self,
        target: &TargetName,
        incarnation: IncarnationNumber,
        record: RateRecord,
        from: &str,
    ) {
        let has_changed = self.with_state(|state, now| {
            let rate = state.balancer.rate_mut(target, incarnation);
            rate.is_some_and(|rate| {
                let known = rate.limit();
                rate.adopt(now, record) && rate.limit() != known
            })
        });
        if has_changed {
            self.log_target_rate(target, record, from);
        }
    }

    fn log_target_rate(&self, target: &TargetName, record: RateRecord, from: &str) {
        let rate = record
            .rate
            .map_or_else(String::new, |rate| rate.to_string());
        log::info!(
            event = EventKind::TargetRateNamed.number(),
            node = self.node().as_str(),
            target = target.as_str(),
            rate = rate.as_str(),
            record = record.sequence,
            from = from;
            "target changed the rate of calls that it accepts"
        );
    }

    /// Logs that a target names a rate that can't be read, unless the one before could not either.
    fn log_unreadable_rate(&self, target: &TargetName, incarnation: IncarnationNumber, text: &str) {
        let is_new = self.with_state(|state, _| {
            let rate = state.balancer.rate_mut(target, incarnation);
            rate.is_some_and(TargetRate::mark_unreadable)
        });
        if is_new {
            log::warn!(
                event = EventKind::TargetRateNamed.number(),
                node = self.node().as_str(),
                target = target.as_str(),
                rate = text,
                from = "answer";
                "the rate of calls that the target names can't be read; the last one stays"
            );
        }
    }

    /// Applies facts that a peer reported and that are new to this node: targets that announced that
    /// they leave, those that the platform published as ready again, ended runs and rates.
    pub fn apply_facts(self: &Arc<Self>, facts: &[TargetFact]) {
        const FROM: &str = "facts of a peer";
        for fact in facts {
            match fact {
                TargetFact::RateNamed(named) => {
                    let (target, run) = (&named.target, named.incarnation);
                    self.adopt_target_rate(target, run, named.record, FROM);
                }
                TargetFact::Ended(end) => {
                    let (target, run) = (&end.target, end.incarnation);
                    let changes =
                        self.with_state(|state, _| state.balancer.mark_ended(target, run));
                    self.handle_target_changes(&changes, FROM);
                }
                TargetFact::Crashed(_)
                | TargetFact::Completed(_)
                | TargetFact::Leaving(_)
                | TargetFact::Stayed(_) => {}
            }
        }
        let leaving = self.with_state(|state, now| {
            let mut leaving = Vec::new();
            for fact in facts {
                match fact {
                    TargetFact::Leaving(LeaveNotice {
                        target,
                        incarnation,
                        ..
                    }) => {
                        let is_leaving = state.facts.is_leaving(now, target, *incarnation);
                        if is_leaving && state.balancer.mark_leaving(target, *incarnation) {
                            leaving.push(target.clone());
                        }
                    }
                    TargetFact::Stayed(LeaveNotice {
                        target,
                        incarnation,
                        ..
                    }) => {
                        if !state.facts.is_leaving(now, target, *incarnation) {
                            state.balancer.cancel_leaving(target, *incarnation);
                        }
                    }
                    // The first two only affect the verdicts of `FactState`, which has them already.
                    TargetFact::Crashed(_)
                    | TargetFact::Completed(_)
                    | TargetFact::RateNamed(_)
                    | TargetFact::Ended(_) => {}
                }
            }
            leaving
        });
        self.handle_leaving(&leaving, FROM);
    }
}
