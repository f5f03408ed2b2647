use base::{ClockTime, IncarnationNumber, ServiceName, TargetName, TimeSpan};

use super::{LoadBalancer, TargetChanges, TargetPhase, TargetState};
use crate::TargetRate;

/// Milliseconds in a second, in thousandths.
const MILLICALL_MS: u64 = 1_000_000;

/// Handles what targets announce about themselves: requests to back off, the rates of calls that they
/// accept, and that they leave.
impl LoadBalancer {
    /// Time until the first target of a service accepts calls of this node again; `None` unless all
    /// targets of the service that neither leave nor are evacuated asked it to back off or have used up their rate.
    pub fn wait_left(&self, now: ClockTime, service: &ServiceName) -> Option<TimeSpan> {
        let known = self.targets.iter();
        let open = known.filter(|one| one.record.service == *service && one.is_open());
        let left = open
            .map(|one| one.wait_left(now))
            .collect::<Option<Vec<_>>>()?;
        left.into_iter().min()
    }

    /// Stops sending to a run of a target, which asked this node to back off for `span`, and to
    /// others that are still listed at its address.
    ///
    /// Returns `span` capped at the longest time that a target may ask for.
    pub fn start_backoff(
        &mut self,
        now: ClockTime,
        name: &TargetName,
        incarnation: IncarnationNumber,
        span: TimeSpan,
    ) -> TimeSpan {
        let Some(state) = self.run_mut(name, incarnation) else {
            let run = (name.clone(), incarnation);
            return self.backoffs.start(now, &run, span);
        };
        let address = state.record.address;
        let at_address = self.targets.iter_mut();
        let at_address = at_address.filter(|state| state.record.address == address);
        at_address
            .map(|state| state.backoff.start(now, span))
            .last()
            .unwrap_or(span)
    }

    /// Rate of calls that a run of a target accepts, and the permits to send to it; `None` if the
    /// run is not known.
    pub fn rate_mut(
        &mut self,
        name: &TargetName,
        incarnation: IncarnationNumber,
    ) -> Option<&mut TargetRate> {
        self.run_mut(name, incarnation).map(|state| &mut state.rate)
    }

    /// Interval at which the targets of a service that name a rate accept calls of this node, if
    /// all nodes that wait for permits get equal parts; `None` if no target's rate is used up.
    pub fn rate_interval(&self, now: ClockTime, service: &ServiceName) -> Option<TimeSpan> {
        let known = self.targets.iter();
        let used_up = known.filter(|one| {
            one.record.service == *service && one.is_open() && one.rate.wait_left(now).is_some()
        });
        let rates: Vec<_> = used_up.map(|one| &one.rate).collect();
        let nodes = rates.iter().map(|rate| rate.waiting_nodes()).max()?;
        let sum: u64 = rates
            .iter()
            .filter_map(|rate| rate.limit_at(now))
            .fold(0, |sum, rate| sum.saturating_add(rate.0));
        Some(TimeSpan::new(
            u64::from(nodes.max(1)) * MILLICALL_MS / sum.max(1),
        ))
    }

    /// Takes the permit for moving one generation off a target; `false` if the target asked this
    /// node to back off and its permits are used up.
    pub fn take_move_permit(&mut self, now: ClockTime, name: &TargetName) -> bool {
        let found = self.find(name);
        found.is_err() || found.is_ok_and(|at| self.targets[at].backoff.take_move_permit(now))
    }

    /// Records that a run of a target announced that it leaves; returns whether its phase changes.
    pub fn mark_leaving(&mut self, name: &TargetName, incarnation: IncarnationNumber) -> bool {
        let Some(state) = self.run_mut(name, incarnation) else {
            return false;
        };
        let was_leaving = state.phase == TargetPhase::Leaving;
        state.has_announced_leave = true;
        state.phase = TargetPhase::Leaving;
        !was_leaving
    }

    /// Records that a run of a target ended although it is still listed; returns what changes.
    pub fn mark_ended(
        &mut self,
        name: &TargetName,
        incarnation: IncarnationNumber,
    ) -> TargetChanges {
        let mut changes = TargetChanges::default();
        if let Some(state) = self.run_mut(name, incarnation)
            && !std::mem::replace(&mut state.has_ended, true)
        {
            if state.phase != TargetPhase::Leaving {
                state.phase = TargetPhase::Leaving;
                changes.leaving.push(state.record.name.clone());
            }
            changes.add_ended(state, true);
        }
        changes
    }

    /// Withdraws the announcement that a run leaves, after a peer saw the platform list the run as
    /// ready again.
    pub fn cancel_leaving(&mut self, name: &TargetName, incarnation: IncarnationNumber) {
        if let Some(state) = self.run_mut(name, incarnation)
            && std::mem::take(&mut state.has_announced_leave)
        {
            state.phase = state.listed_phase();
        }
    }

    fn run_mut(
        &mut self,
        name: &TargetName,
        incarnation: IncarnationNumber,
    ) -> Option<&mut TargetState> {
        let at = self.find(name).ok()?;
        let state = &mut self.targets[at];
        (state.record.incarnation == incarnation).then_some(state)
    }
}
