use base::{IncarnationNumber, TargetName};
use fleet::{DeclaredRollout, FleetDeclaration};
use orders::{
    ActualState, BlockReason, LoadState, LoadedVersion, NeededStep, OrderAction, RequiredPermit,
};

/// One event in the history of the naive reconciler.
pub enum NaiveEvent {
    Declared(FleetDeclaration),
    Observed(ActualState),
    Ordered(TargetName, OrderAction),
}

/// Reference implementation that derives each step from the whole history, without plan or cache.
#[derive(Default)]
pub struct NaiveReconciler {
    pub events: Vec<NaiveEvent>,
}

impl NaiveReconciler {
    /// Next step of a target; `halted` tells which rollouts are halted.
    pub fn next_step(
        &self,
        target: &TargetName,
        halted: impl Fn(&str) -> bool,
    ) -> Option<NeededStep> {
        let actual = self.actual(target)?;
        let rollouts = self.rollouts(target);
        Some(self.decide(target, actual, &rollouts, &halted))
    }

    fn fleet(&self) -> &FleetDeclaration {
        let found = self.events.iter().rev().find_map(|event| match event {
            NaiveEvent::Declared(fleet) => Some(fleet),
            _ => None,
        });
        found.unwrap()
    }

    fn actual(&self, target: &TargetName) -> Option<&ActualState> {
        self.events.iter().rev().find_map(|event| match event {
            NaiveEvent::Observed(actual) if actual.target == *target => Some(actual),
            _ => None,
        })
    }

    fn rollouts(&self, target: &TargetName) -> Vec<(usize, &DeclaredRollout)> {
        let declared = self.fleet().target(target).unwrap();
        let all = self.fleet().rollouts.iter().enumerate();
        all.filter(|(_, rollout)| rollout.targets.matches(&declared.labels))
            .collect()
    }

    fn decide(
        &self,
        target: &TargetName,
        actual: &ActualState,
        rollouts: &[(usize, &DeclaredRollout)],
        halted: &dyn Fn(&str) -> bool,
    ) -> NeededStep {
        if actual.leaving {
            return NeededStep::Blocked(BlockReason::TargetLeaving);
        }
        let role = self.fleet().target(target).unwrap().role;
        if let Some(role) = role
            && actual.role != Some(role)
        {
            return NeededStep::Order(OrderAction::SetRole { role }, RequiredPermit::None, None);
        }
        let wanted = |entry: &LoadedVersion| {
            let mut same = rollouts.iter();
            same.any(|(_, rollout)| {
                rollout.model == entry.model && rollout.version == entry.version
            })
        };
        for entry in &actual.versions {
            if !entry.is_ready() && !wanted(entry) {
                return NeededStep::Order(unload(entry), RequiredPermit::None, None);
            }
        }
        if actual.versions.iter().any(LoadedVersion::is_loading) {
            return NeededStep::Blocked(BlockReason::Loading);
        }
        let mut reasons = Vec::new();
        for (at, rollout) in rollouts {
            let is_halted = halted(&rollout.name);
            let permit = |action| NeededStep::Order(action, RequiredPermit::Load, Some(*at));
            let load = OrderAction::Load {
                model: rollout.model.clone(),
                version: rollout.version.clone(),
            };
            let step = match actual.version(&rollout.model, &rollout.version) {
                None => Some(permit(load)),
                Some(entry) => match &entry.state {
                    LoadState::Ready => {
                        let mut missing = rollout.adapters.iter();
                        let missing = missing.find(|name| !entry.adapters.contains(name));
                        missing.map(|adapter| {
                            permit(OrderAction::LoadAdapter {
                                model: rollout.model.clone(),
                                version: rollout.version.clone(),
                                adapter: adapter.clone(),
                            })
                        })
                    }
                    LoadState::Loading => None,
                    LoadState::Failed { memory_full, .. } => {
                        let cost = |entry: &LoadedVersion| {
                            let served = rollouts.iter().any(|(_, other)| {
                                let known = actual.version(&other.model, &other.version);
                                other.model == entry.model
                                    && known.is_some_and(|known| known.is_ready())
                            });
                            u8::from(!served) * 2 + u8::from(entry.model != rollout.model)
                        };
                        let surplus = actual.versions.iter().filter(|entry| !wanted(entry));
                        let best = surplus
                            .map(|entry| (entry, cost(entry)))
                            .min_by_key(|pair| pair.1);
                        match best.filter(|_| *memory_full) {
                            Some((victim, cost)) => {
                                let need = match cost {
                                    0 | 1 => RequiredPermit::None,
                                    _ => RequiredPermit::Swap(victim.model.clone()),
                                };
                                Some(NeededStep::Order(unload(victim), need, Some(*at)))
                            }
                            None if self.may_retry(target, rollout, *memory_full) => {
                                Some(permit(load))
                            }
                            None => {
                                reasons.push(match memory_full {
                                    true => BlockReason::MemoryFull,
                                    false => BlockReason::VersionFailed,
                                });
                                continue;
                            }
                        }
                    }
                },
            };
            match step {
                None => {}
                Some(_) if is_halted => reasons.push(BlockReason::RolloutHalted),
                Some(step) => return step,
            }
        }
        let served = |rollout: &DeclaredRollout| {
            let entry = actual.version(&rollout.model, &rollout.version);
            entry.is_some_and(|entry| {
                entry.is_ready()
                    && rollout
                        .adapters
                        .iter()
                        .all(|name| entry.adapters.contains(name))
            })
        };
        for entry in &actual.versions {
            let same = rollouts
                .iter()
                .find(|(_, rollout)| rollout.model == entry.model);
            let step = match same {
                Some((_, rollout)) if rollout.version == entry.version => {
                    let mut extra = entry.adapters.iter();
                    let Some(adapter) = extra.find(|name| !rollout.adapters.contains(name)) else {
                        continue;
                    };
                    let action = OrderAction::UnloadAdapter {
                        model: entry.model.clone(),
                        version: entry.version.clone(),
                        adapter: adapter.clone(),
                    };
                    Ok(NeededStep::Order(action, RequiredPermit::None, None))
                }
                Some((_, rollout)) if !served(rollout) => Err(BlockReason::OrderDue),
                Some(_) => Ok(NeededStep::Order(unload(entry), RequiredPermit::None, None)),
                None if rollouts.iter().all(|(_, rollout)| served(rollout)) => {
                    let need = RequiredPermit::Drain(entry.model.clone());
                    Ok(NeededStep::Order(unload(entry), need, None))
                }
                None => Err(BlockReason::OrderDue),
            };
            match (step, same) {
                (Err(reason), _) => reasons.push(reason),
                (Ok(_), Some((_, rollout))) if halted(&rollout.name) => {
                    reasons.push(BlockReason::RolloutHalted);
                }
                (Ok(step), _) => return step,
            }
        }
        match reasons.first() {
            Some(reason) => NeededStep::Blocked(*reason),
            None => NeededStep::Converged,
        }
    }

    /// Scans the history to decide whether a failed version may be loaded again: once if a later
    /// declaration changed the rollout, and a limited number of times if memory was insufficient.
    fn may_retry(&self, target: &TargetName, rollout: &DeclaredRollout, memory_full: bool) -> bool {
        let mut incarnation: Option<IncarnationNumber> = None;
        let mut known: Option<FleetDeclaration> = None;
        let (mut retry, mut loads) = (false, Vec::<(OrderAction, u32)>::new());
        for event in &self.events {
            match event {
                NaiveEvent::Declared(fleet) => {
                    let same = |fleet: &FleetDeclaration| fleet.rollouts.contains(rollout);
                    if known.as_ref().is_some_and(|old| !same(old)) && same(fleet) {
                        retry = true;
                    }
                    let wants = |fleet: &FleetDeclaration| {
                        let declared = fleet.target(target).unwrap();
                        let mut text = format!("{:?}", declared.role);
                        for rollout in &fleet.rollouts {
                            if rollout.targets.matches(&declared.labels) {
                                let (model, version) = (&rollout.model, &rollout.version);
                                text += &format!(" {model}:{version}{:?}", rollout.adapters);
                            }
                        }
                        text
                    };
                    if known.as_ref().is_none_or(|old| wants(old) != wants(fleet)) {
                        loads.clear();
                    }
                    known = Some(fleet.clone());
                }
                NaiveEvent::Observed(actual)
                    if actual.target == *target && incarnation != Some(actual.incarnation) =>
                {
                    incarnation = Some(actual.incarnation);
                    retry = false;
                    loads.clear();
                }
                NaiveEvent::Ordered(name, action)
                    if name == target && is_load_of(action, rollout) =>
                {
                    retry = false;
                    match loads.iter_mut().find(|(known, _)| known == action) {
                        Some((_, count)) => *count += 1,
                        None => loads.push((action.clone(), 1)),
                    }
                }
                _ => {}
            }
        }
        let largest = loads.iter().map(|(_, count)| *count).max().unwrap_or(0);
        retry || memory_full && largest < 8
    }
}

fn unload(entry: &LoadedVersion) -> OrderAction {
    OrderAction::Unload {
        model: entry.model.clone(),
        version: entry.version.clone(),
    }
}

fn is_load_of(action: &OrderAction, rollout: &DeclaredRollout) -> bool {
    match action {
        OrderAction::Load { model, version } | OrderAction::LoadAdapter { model, version, .. } => {
            *model == rollout.model && *version == rollout.version
        }
        _ => false,
    }
}
