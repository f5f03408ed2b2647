use super::{BlockReason, NeededStep, RequiredPermit};
use crate::{ActualState, LoadState, LoadedVersion, OrderAction, TargetPlan, WantedVersion};

/// Conditions outside the target that decide whether a step towards a wanted version is allowed.
pub trait StepGates {
    /// Reason for which the version may not be loaded or replace other versions now.
    fn blocks_load(&self, wanted: &WantedVersion) -> Option<BlockReason>;

    /// Reason for which other versions of the same model may not be unloaded now.
    fn blocks_unload(&self, wanted: &WantedVersion) -> Option<BlockReason>;

    /// Whether a version that the target reports as failed may be loaded again, because the failure
    /// is older than the rollout or for another reason.
    fn may_retry(&self, wanted: &WantedVersion) -> bool;
}

/// Compares plan and actual state of one target and returns the next step.
///
/// This is a pure function: equal arguments give equal steps. An order that was carried out is not
/// returned again.
///
/// ```
/// use base::{ClockTime, IncarnationNumber};
/// use orders::{BlockReason, StepGates, NeededStep, OrderAction, RequiredPermit, ActualState};
/// use orders::{TargetPlan, WantedVersion, next_step};
/// struct OpenGates;
/// impl StepGates for OpenGates {
///     fn blocks_load(&self, _: &WantedVersion) -> Option<BlockReason> { None }
///     fn blocks_unload(&self, _: &WantedVersion) -> Option<BlockReason> { None }
///     fn may_retry(&self, _: &WantedVersion) -> bool { false }
/// }
/// let (name, role) = ("e1".parse().unwrap(), "decode".parse().unwrap());
/// let plan = TargetPlan { name, role: Some(role), fencing: false, wanted: Vec::new() };
/// let mut actual = ActualState::new(plan.name.clone(), IncarnationNumber(1), ClockTime::ZERO);
/// let action = OrderAction::SetRole { role };
/// let step = NeededStep::Order(action, RequiredPermit::None, None);
/// assert_eq!(next_step(&plan, &actual, &OpenGates), step);
/// actual.role = Some(role);
/// assert_eq!(next_step(&plan, &actual, &OpenGates), NeededStep::Converged);
/// ```
pub fn next_step(plan: &TargetPlan, actual: &ActualState, gates: &dyn StepGates) -> NeededStep {
    if actual.leaving {
        return NeededStep::Blocked(BlockReason::TargetLeaving);
    }
    if let Some(step) = role_step(plan, actual) {
        return step;
    }
    if let Some(step) = cleanup_step(plan, actual) {
        return step;
    }
    if actual.is_loading() {
        return NeededStep::Blocked(BlockReason::Loading);
    }
    let mut blocked = None;
    for wanted in &plan.wanted {
        match wanted_step(plan, wanted, actual, gates) {
            None => {}
            Some(NeededStep::Blocked(reason)) => blocked = blocked.or(Some(reason)),
            Some(step) => return step,
        }
    }
    if let Some(step) = surplus_step(plan, actual, gates, &mut blocked) {
        return step;
    }
    blocked.map_or(NeededStep::Converged, NeededStep::Blocked)
}

/// Sets the role if it differs from the declared one.
fn role_step(plan: &TargetPlan, actual: &ActualState) -> Option<NeededStep> {
    let role = plan.role?;
    if actual.role == Some(role) {
        return None;
    }
    let action = OrderAction::SetRole { role };
    Some(NeededStep::Order(action, RequiredPermit::None, None))
}

/// Unloads an unwanted version that is loading or failed to load. It serves no requests, and
/// unloading it frees memory and weight rate.
fn cleanup_step(plan: &TargetPlan, actual: &ActualState) -> Option<NeededStep> {
    let mut entries = actual.versions.iter();
    let entry = entries.find(|entry| !entry.is_ready() && plan.find(entry).is_none())?;
    Some(NeededStep::Order(unload(entry), RequiredPermit::None, None))
}

/// Next step to make the target serve one wanted version; `None` if it does.
fn wanted_step(
    plan: &TargetPlan,
    wanted: &WantedVersion,
    actual: &ActualState,
    gates: &dyn StepGates,
) -> Option<NeededStep> {
    let rollout = wanted.rollouts.first().copied();
    let entry = actual.version(&wanted.model, &wanted.version);
    let action = match entry.map(|entry| &entry.state) {
        Some(LoadState::Ready) => load_adapter(wanted, entry?)?,
        Some(LoadState::Failed { memory_full, .. }) => {
            if *memory_full && let Some(victim) = find_victim(plan, wanted, actual) {
                let step = replace(plan, victim, actual, rollout);
                return Some(gated(gates, wanted, step));
            }
            if !gates.may_retry(wanted) {
                let full = BlockReason::MemoryFull;
                let reason = if *memory_full {
                    full
                } else {
                    BlockReason::VersionFailed
                };
                return Some(NeededStep::Blocked(reason));
            }
            load(wanted)
        }
        _ => load(wanted),
    };
    let step = NeededStep::Order(action, RequiredPermit::Load, rollout);
    Some(gated(gates, wanted, step))
}

/// Returns the step, unless the gates block loading the version.
fn gated(gates: &dyn StepGates, wanted: &WantedVersion, step: NeededStep) -> NeededStep {
    gates.blocks_load(wanted).map_or(step, NeededStep::Blocked)
}

/// Order to load the wanted version.
fn load(wanted: &WantedVersion) -> OrderAction {
    OrderAction::Load {
        model: wanted.model.clone(),
        version: wanted.version.clone(),
    }
}

/// Order to load the first missing adapter; `None` if none is missing.
fn load_adapter(wanted: &WantedVersion, entry: &LoadedVersion) -> Option<OrderAction> {
    let mut adapters = wanted.adapters.iter();
    let adapter = adapters.find(|name| !entry.has_adapter(name))?;
    Some(OrderAction::LoadAdapter {
        model: wanted.model.clone(),
        version: wanted.version.clone(),
        adapter: adapter.clone(),
    })
}

/// Order to unload the version.
fn unload(entry: &LoadedVersion) -> OrderAction {
    OrderAction::Unload {
        model: entry.model.clone(),
        version: entry.version.clone(),
    }
}

/// Chooses the unwanted version to unload to make room for `wanted`: preferably one whose model the
/// target still serves without it, then another version of the same model, then any other.
pub fn find_victim<'a>(
    plan: &TargetPlan,
    wanted: &WantedVersion,
    actual: &'a ActualState,
) -> Option<&'a LoadedVersion> {
    let unwanted = actual
        .versions
        .iter()
        .filter(|entry| plan.find(entry).is_none());
    unwanted.min_by_key(|entry| {
        let needed = !serves_wanted_version(plan, entry, actual);
        (needed, entry.model != wanted.model)
    })
}

/// Tells whether the target serves a wanted version of the model of `entry`.
fn serves_wanted_version(plan: &TargetPlan, entry: &LoadedVersion, actual: &ActualState) -> bool {
    let same = plan
        .wanted
        .iter()
        .filter(|wanted| wanted.model == entry.model);
    let mut found = same.filter_map(|wanted| actual.version(&wanted.model, &wanted.version));
    found.any(LoadedVersion::is_ready)
}

/// Unloads `victim` to make room for a wanted version.
fn replace(
    plan: &TargetPlan,
    victim: &LoadedVersion,
    actual: &ActualState,
    rollout: Option<usize>,
) -> NeededStep {
    let required = if serves_wanted_version(plan, victim, actual) {
        RequiredPermit::None
    } else {
        RequiredPermit::Swap(victim.model.clone())
    };
    NeededStep::Order(unload(victim), required, rollout)
}

/// Unloads versions and adapters that are no longer wanted, once the target serves the wanted ones.
fn surplus_step(
    plan: &TargetPlan,
    actual: &ActualState,
    gates: &dyn StepGates,
    blocked: &mut Option<BlockReason>,
) -> Option<NeededStep> {
    for entry in &actual.versions {
        let Some(wanted) = plan.find(entry) else {
            match surplus_version(plan, entry, actual, gates) {
                Ok(step) => return Some(step),
                Err(reason) => *blocked = blocked.or(Some(reason)),
            }
            continue;
        };
        let mut adapters = entry.adapters.iter();
        let Some(adapter) = adapters.find(|name| !wanted.adapters.contains(name)) else {
            continue;
        };
        if let Some(reason) = gates.blocks_unload(wanted) {
            *blocked = blocked.or(Some(reason));
            continue;
        }
        let action = OrderAction::UnloadAdapter {
            model: entry.model.clone(),
            version: entry.version.clone(),
            adapter: adapter.clone(),
        };
        return Some(NeededStep::Order(action, RequiredPermit::None, None));
    }
    None
}

/// Unloads one unwanted version, or returns the reason for which it must stay for now.
fn surplus_version(
    plan: &TargetPlan,
    entry: &LoadedVersion,
    actual: &ActualState,
    gates: &dyn StepGates,
) -> Result<NeededStep, BlockReason> {
    let successor = plan
        .wanted
        .iter()
        .find(|wanted| wanted.model == entry.model);
    if let Some(wanted) = successor {
        if !wanted.is_served(actual) {
            return Err(BlockReason::OrderDue);
        }
        if let Some(reason) = gates.blocks_unload(wanted) {
            return Err(reason);
        }
        return Ok(NeededStep::Order(unload(entry), RequiredPermit::None, None));
    }
    if !plan.wanted.iter().all(|wanted| wanted.is_served(actual)) {
        return Err(BlockReason::OrderDue);
    }
    let required = RequiredPermit::Drain(entry.model.clone());
    Ok(NeededStep::Order(unload(entry), required, None))
}
