use std::collections::HashMap;

use base::{ModelName, WorkspaceName};

use super::{LengthCalibration, LengthCurve, LengthHistogram};
use crate::CallKind;

/// Observations that the next wider group is worth.
const BACKOFF_WEIGHT: f64 = 12.0;
/// Groups kept for each level; outputs of further groups count for the wider levels only.
const GROUP_LIMIT: usize = 16_384;

type ModelKey = (Option<ModelName>, CallKind);
type WorkspaceKey = (WorkspaceName, Option<ModelName>, CallKind);
type BoundKey = (WorkspaceKey, u32);

/// Learns output lengths for each workspace, model and kind of call.
///
/// Calls with and without `max_tokens`, and with bounds of different magnitude, are kinds of their
/// own in the narrowest group, since callers set a tight bound where they expect a short answer. A
/// group with few observations backs off to its workspace, model and kind, then to its model and
/// kind, then to its kind, then to a prior.
///
/// ```
/// use sched::{CallKind, LengthModel};
/// let workspace = "kanchan".parse().unwrap();
/// let mut model = LengthModel::new();
/// for _ in 0..100 {
///     model.observe(&workspace, None, CallKind::Chat, 1_000, 40);
/// }
/// let curve = model.curve(&workspace, None, CallKind::Chat, 1_000);
/// assert!(curve.quantile(0.5, 0, 1_000) < 64);
/// ```
#[derive(Clone, Debug, Default)]
pub struct LengthModel {
    kinds: HashMap<CallKind, LengthHistogram>,
    models: HashMap<ModelKey, LengthHistogram>,
    workspaces: HashMap<WorkspaceKey, LengthHistogram>,
    bounds: HashMap<BoundKey, LengthHistogram>,
    calibration: LengthCalibration,
}

impl LengthModel {
    /// Creates a model that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the distribution of lengths of calls that are bounded by `most` tokens.
    pub fn curve(
        &self,
        workspace: &WorkspaceName,
        model: Option<&ModelName>,
        kind: CallKind,
        most: u32,
    ) -> LengthCurve {
        let model_key = (model.cloned(), kind);
        let workspace_key = (workspace.clone(), model.cloned(), kind);
        let workspace_group = self.workspaces.get(&workspace_key);
        let groups = [
            self.kinds.get(&kind),
            self.models.get(&model_key),
            workspace_group,
            self.bounds.get(&(workspace_key, magnitude(most))),
        ];
        let mut curve = LengthCurve::prior();
        for group in groups.into_iter().flatten() {
            group.blend_into(&mut curve, BACKOFF_WEIGHT);
        }
        curve
    }

    /// Learns the length of a complete output of a call that is bounded by `most` tokens.
    pub fn observe(
        &mut self,
        workspace: &WorkspaceName,
        model: Option<&ModelName>,
        kind: CallKind,
        most: u32,
        tokens: u32,
    ) {
        let curve = self.curve(workspace, model, kind, most);
        let predicted = LengthCalibration::quantiles().map(|share| curve.quantile(share, 0, most));
        self.calibration.add(tokens, predicted);
        add_to(&mut self.kinds, kind, tokens);
        add_to(&mut self.models, (model.cloned(), kind), tokens);
        let key = (workspace.clone(), model.cloned(), kind);
        add_to(&mut self.workspaces, key.clone(), tokens);
        add_to(&mut self.bounds, (key, magnitude(most)), tokens);
    }

    /// How well predictions at the start of each output matched.
    pub fn calibration(&self) -> LengthCalibration {
        self.calibration
    }
}

fn magnitude(most: u32) -> u32 {
    most.max(1).ilog2()
}

fn add_to<K: Eq + std::hash::Hash>(groups: &mut HashMap<K, LengthHistogram>, key: K, tokens: u32) {
    if groups.len() >= GROUP_LIMIT && !groups.contains_key(&key) {
        return;
    }
    groups.entry(key).or_default().add(tokens);
}
