use super::{BlockReason, NeededStep, StepNeed};
use crate::{LoadState, LoadedVersion, OrderAction, TargetActual, TargetPlan, WantedVersion};

/// Tells what stands in the way of a wanted version.
pub trait GateReader {
    /// Why the version may not be loaded or replace others now.
    fn blocks_load(&self, wanted: &WantedVersion) -> Option<BlockReason>;

    /// Why older versions of the same model may not be unloaded now.
    fn blocks_unload(&self, wanted: &WantedVersion) -> Option<BlockReason>;

    /// Whether the failure that the target shows is older than the rollout or may be tried again.
    fn may_retry(&self, wanted: &WantedVersion) -> bool;
}

/// Compares plan and actual state of one target and returns the next step.
///
/// A pure function: equal arguments give equal steps, and an order that was carried out is not
/// needed again.
///
/// ```
/// use base::{ClockTime, IncarnationNumber};
/// use orders::{BlockReason, GateReader, NeededStep, OrderAction, StepNeed, TargetActual};
/// use orders::{TargetPlan, WantedVersion, next_step};
/// struct OpenGates;
/// impl GateReader for OpenGates {
///     fn blocks_load(&self, _: &WantedVersion) -> Option<BlockReason> { None }
///     fn blocks_unload(&self, _: &WantedVersion) -> Option<BlockReason> { None }
///     fn may_retry(&self, _: &WantedVersion) -> bool { false }
/// }
/// let (name, role) = ("e1".parse().unwrap(), "decode".parse().unwrap());
/// let plan = TargetPlan { name, role: Some(role), fencing: false, wanted: Vec::new() };
/// let mut actual = TargetActual::new(plan.name.clone(), IncarnationNumber(1), ClockTime::ZERO);
/// let action = OrderAction::SetRole { role };
/// let step = NeededStep::Order(action, StepNeed::Free, None);
/// assert_eq!(next_step(&plan, &actual, &OpenGates), step);
/// actual.role = Some(role);
/// assert_eq!(next_step(&plan, &actual, &OpenGates), NeededStep::Converged);
/// ```
pub fn next_step(plan: &TargetPlan, actual: &TargetActual, gates: &dyn GateReader) -> NeededStep {
    if actual.leaving {
        return NeededStep::Blocked(BlockReason::TargetLeaving);
    }
    if let Some(step) = role_step(plan, actual) {
        return step;
    }
    if let Some(step) = clear_step(plan, actual) {
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

fn role_step(plan: &TargetPlan, actual: &TargetActual) -> Option<NeededStep> {
    let role = plan.role?;
    if actual.role == Some(role) {
        return None;
    }
    let action = OrderAction::SetRole { role };
    Some(NeededStep::Order(action, StepNeed::Free, None))
}

/// Takes back what is not wanted and serves nobody; this frees memory and weight rate.
fn clear_step(plan: &TargetPlan, actual: &TargetActual) -> Option<NeededStep> {
    let mut entries = actual.versions.iter();
    let entry = entries.find(|entry| !entry.is_ready() && plan.find(entry).is_none())?;
    Some(NeededStep::Order(unload(entry), StepNeed::Free, None))
}

fn wanted_step(
    plan: &TargetPlan,
    wanted: &WantedVersion,
    actual: &TargetActual,
    gates: &dyn GateReader,
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
    let step = NeededStep::Order(action, StepNeed::Slot, rollout);
    Some(gated(gates, wanted, step))
}

fn gated(gates: &dyn GateReader, wanted: &WantedVersion, step: NeededStep) -> NeededStep {
    gates.blocks_load(wanted).map_or(step, NeededStep::Blocked)
}

fn load(wanted: &WantedVersion) -> OrderAction {
    OrderAction::Load {
        model: wanted.model.clone(),
        version: wanted.version.clone(),
    }
}

fn load_adapter(wanted: &WantedVersion, entry: &LoadedVersion) -> Option<OrderAction> {
    let mut adapters = wanted.adapters.iter();
    let adapter = adapters.find(|name| !entry.has_adapter(name))?;
    Some(OrderAction::LoadAdapter {
        model: wanted.model.clone(),
        version: wanted.version.clone(),
        adapter: adapter.clone(),
    })
}

fn unload(entry: &LoadedVersion) -> OrderAction {
    OrderAction::Unload {
        model: entry.model.clone(),
        version: entry.version.clone(),
    }
}

/// The version that makes room: one without which its model is still served here, then an older
/// version of the same model, then any other.
pub fn find_victim<'a>(
    plan: &TargetPlan,
    wanted: &WantedVersion,
    actual: &'a TargetActual,
) -> Option<&'a LoadedVersion> {
    let unwanted = actual
        .versions
        .iter()
        .filter(|entry| plan.find(entry).is_none());
    unwanted.min_by_key(|entry| {
        let needed = !is_covered(plan, entry, actual);
        (needed, entry.model != wanted.model)
    })
}

/// Tells whether the target serves a wanted version of the same model.
fn is_covered(plan: &TargetPlan, entry: &LoadedVersion, actual: &TargetActual) -> bool {
    let same = plan
        .wanted
        .iter()
        .filter(|wanted| wanted.model == entry.model);
    let mut found = same.filter_map(|wanted| actual.version(&wanted.model, &wanted.version));
    found.any(LoadedVersion::is_ready)
}

fn replace(
    plan: &TargetPlan,
    victim: &LoadedVersion,
    actual: &TargetActual,
    rollout: Option<usize>,
) -> NeededStep {
    let need = if is_covered(plan, victim, actual) {
        StepNeed::Free
    } else {
        StepNeed::Swap(victim.model.clone())
    };
    NeededStep::Order(unload(victim), need, rollout)
}

/// Unloads what is no longer wanted, once the wanted version serves in its place.
fn surplus_step(
    plan: &TargetPlan,
    actual: &TargetActual,
    gates: &dyn GateReader,
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
        return Some(NeededStep::Order(action, StepNeed::Free, None));
    }
    None
}

fn surplus_version(
    plan: &TargetPlan,
    entry: &LoadedVersion,
    actual: &TargetActual,
    gates: &dyn GateReader,
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
        return Ok(NeededStep::Order(unload(entry), StepNeed::Free, None));
    }
    if !plan.wanted.iter().all(|wanted| wanted.is_served(actual)) {
        return Err(BlockReason::OrderDue);
    }
    let need = StepNeed::Drain(entry.model.clone());
    Ok(NeededStep::Order(unload(entry), need, None))
}
