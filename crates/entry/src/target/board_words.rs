use base::{ClockTime, IncarnationNumber, ServiceName, TargetName, TimeSpan};

use super::{TargetBoard, TargetPhase, TargetState};

/// What targets say of themselves.
impl TargetBoard {
    /// Time until the first target of a service may be sent anything, if all want quiet from this node.
    pub fn quiet_left(&self, now: ClockTime, service: &ServiceName) -> Option<TimeSpan> {
        let known = self.targets.iter();
        let open =
            known.filter(|one| one.record.service == *service && one.phase != TargetPhase::Leaving);
        let left = open
            .map(|one| one.quiet.left(now))
            .collect::<Option<Vec<_>>>()?;
        left.into_iter().min()
    }

    /// A run of a target wants quiet from this node; returns the time that counts, `None` if it is not
    /// known.
    pub fn ask_quiet(
        &mut self,
        now: ClockTime,
        name: &TargetName,
        incarnation: IncarnationNumber,
        span: TimeSpan,
    ) -> Option<TimeSpan> {
        let state = self.run_mut(name, incarnation)?;
        Some(state.quiet.ask(now, span))
    }

    /// Takes one move off a target; `false` if it wants quiet and there were too many.
    pub fn take_move(&mut self, now: ClockTime, name: &TargetName) -> bool {
        let found = self.find(name);
        found.is_err() || found.is_ok_and(|at| self.targets[at].quiet.take_move(now))
    }

    /// Notes that a run of a target said itself that it leaves; returns whether that changes anything.
    pub fn mark_leaving(&mut self, name: &TargetName, incarnation: IncarnationNumber) -> bool {
        let Some(state) = self.run_mut(name, incarnation) else {
            return false;
        };
        let was_leaving = state.phase == TargetPhase::Leaving;
        state.has_said = true;
        state.phase = TargetPhase::Leaving;
        !was_leaving
    }

    /// Notes that the platform took back that a run leaves, as a peer saw.
    pub fn mark_stayed(&mut self, name: &TargetName, incarnation: IncarnationNumber) {
        if let Some(state) = self.run_mut(name, incarnation)
            && std::mem::take(&mut state.has_said)
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
