use base::{ClockTime, EventKind, IncarnationNumber, ServiceName, TargetName, TimeSpan};
use entry::{EngineSpec, RefusalLimit, RefusalReport, TargetLoad};
use metrics::gauge;

use super::{GatewayCore, GatewayState};
use crate::RefusalNotice;

/// Limit assumed for a target that states one that can't be read.
const UNREADABLE_LIMIT: RefusalLimit = RefusalLimit(0);
/// Time after a refusal within which the end of a target with a refusal limit is not blamed on its calls.
const FALL_TIME: TimeSpan = TimeSpan::from_secs(2);

impl GatewayState {
    /// What places a call to a plain service: `None`, so that the node of the caller chooses a target, or, while
    /// the service has targets with a refusal limit, the same as for engines. Then the coordinator grants each
    /// slot, and what finds none waits.
    pub fn plain_placement(
        &self,
        now: ClockTime,
        service: &ServiceName,
    ) -> Option<(EngineSpec, TargetLoad)> {
        self.balancer.refusal_limit(now, service)?;
        // A load on memory is reported to coordinators at once.
        let load = TargetLoad {
            calls: 1,
            tokens: 1,
            ..TargetLoad::default()
        };
        Some((EngineSpec::of_plain_service(), load))
    }
}

impl GatewayCore {
    /// Records what an answer of a run of a target states about the calls that it may refuse; the call was sent
    /// at `sent_at`.
    pub fn record_refusal_limit(
        &self,
        target: &TargetName,
        incarnation: IncarnationNumber,
        notice: &RefusalNotice,
        sent_at: ClockTime,
    ) {
        let limit = match notice {
            RefusalNotice::Unlimited => None,
            RefusalNotice::Limited(limit) => Some(*limit),
            RefusalNotice::Unparsable(_) => Some(UNREADABLE_LIMIT),
        };
        let changed = self.with_state(|state, _| {
            let run = (target, incarnation);
            state.balancer.observe_refusal_limit(run, sent_at, limit)
        });
        if changed {
            let text = match notice {
                RefusalNotice::Unparsable(text) => text.as_str(),
                RefusalNotice::Unlimited | RefusalNotice::Limited(_) => "",
            };
            self.log_refusal_limit(target, limit, text, "answer");
        }
    }

    /// Adopts what a peer knows of refusal limits.
    pub fn adopt_refusals(&self, reports: &[RefusalReport], from: &str) {
        if reports.is_empty() {
            return;
        }
        let changed = self.with_state(|state, now| state.balancer.adopt_refusals(now, reports));
        for report in reports.iter().filter(|one| changed.contains(&one.target)) {
            self.log_refusal_limit(&report.target, report.limit, "", from);
        }
    }

    /// Whether a target with a refusal limit refused calls just before it ended, so that its calls are not the
    /// cause.
    pub fn fell_by_refusals(&self, target: &TargetName) -> bool {
        self.with_state(|state, now| {
            let found = state.balancer.target(target);
            found.is_some_and(|one| {
                one.refusals.limit_at(now).is_some()
                    && one.refusals.has_refused_within(now, FALL_TIME)
            })
        })
    }

    fn log_refusal_limit(
        &self,
        target: &TargetName,
        limit: Option<RefusalLimit>,
        unreadable: &str,
        from: &str,
    ) {
        let limited = self.with_state(|state, now| {
            let known = state.balancer.targets().iter();
            known
                .filter(|one| one.refusals.limit_at(now).is_some())
                .count()
        });
        gauge!("gateway_refusal_limits").set(limited as f64);
        log::info!(
            event = EventKind::RefusalLimitChanged.number(),
            node = self.node().as_str(),
            target = target.as_str(),
            limit = limit.map_or_else(String::new, |limit| limit.to_string()).as_str(),
            unreadable = unreadable,
            from = from;
            "the number of calls that the target may refuse changed"
        );
    }
}
