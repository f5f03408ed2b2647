use std::collections::HashMap;

use base::{ModelName, WorkspaceName};

use super::{LengthCalibration, LengthDistribution, LengthHistogram};
use crate::CallKind;

/// Number of observations that the prediction of the next wider group counts as.
const BACKOFF_WEIGHT: f64 = 12.0;
/// Largest number of groups at each level; outputs of further groups count in the wider levels
/// only.
const GROUP_LIMIT: usize = 16_384;

type ModelKey = (Option<ModelName>, CallKind);
type WorkspaceKey = (WorkspaceName, Option<ModelName>, CallKind);
type BoundKey = (WorkspaceKey, u32);

/// Predicts output lengths for each workspace, model and kind of call from earlier outputs.
///
/// The narrowest groups also separate calls by the order of magnitude of their length bound, since
/// callers set a tight `max_tokens` where they expect a short answer; calls without one have the
/// largest bound. A group with few observations backs off to its workspace, model and kind, then to
/// its model and kind, then to its kind, then to a prior.
///
/// ```
/// use sched::{CallKind, LengthPredictor};
/// let workspace = "kanchan".parse().unwrap();
/// let mut predictor = LengthPredictor::new();
/// for _ in 0..100 {
///     predictor.observe(&workspace, None, CallKind::Chat, 1_000, 40);
/// }
/// let distribution = predictor.distribution(&workspace, None, CallKind::Chat, 1_000);
/// assert!(distribution.quantile(0.5, 0, 1_000) < 64);
/// ```
#[derive(Clone, Debug, Default)]
pub struct LengthPredictor {
    kinds: HashMap<CallKind, LengthHistogram>,
    models: HashMap<ModelKey, LengthHistogram>,
    workspaces: HashMap<WorkspaceKey, LengthHistogram>,
    bounds: HashMap<BoundKey, LengthHistogram>,
    calibration: LengthCalibration,
}

impl LengthPredictor {
    /// Creates a predictor without observations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Predicts the distribution of output lengths of calls that are bounded by `cap` tokens.
    pub fn distribution(
        &self,
        workspace: &WorkspaceName,
        model: Option<&ModelName>,
        kind: CallKind,
        cap: u32,
    ) -> LengthDistribution {
        let model_key = (model.cloned(), kind);
        let workspace_key = (workspace.clone(), model.cloned(), kind);
        let workspace_group = self.workspaces.get(&workspace_key);
        let groups = [
            self.kinds.get(&kind),
            self.models.get(&model_key),
            workspace_group,
            self.bounds.get(&(workspace_key, magnitude(cap))),
        ];
        let mut distribution = LengthDistribution::prior();
        for group in groups.into_iter().flatten() {
            group.blend_into(&mut distribution, BACKOFF_WEIGHT);
        }
        distribution
    }

    /// Records the length of a complete output of a call that is bounded by `cap` tokens.
    pub fn observe(
        &mut self,
        workspace: &WorkspaceName,
        model: Option<&ModelName>,
        kind: CallKind,
        cap: u32,
        tokens: u32,
    ) {
        let distribution = self.distribution(workspace, model, kind, cap);
        let predicted =
            LengthCalibration::quantiles().map(|share| distribution.quantile(share, 0, cap));
        self.calibration.add(tokens, predicted);
        add_to(&mut self.kinds, kind, tokens);
        add_to(&mut self.models, (model.cloned(), kind), tokens);
        let key = (workspace.clone(), model.cloned(), kind);
        add_to(&mut self.workspaces, key.clone(), tokens);
        add_to(&mut self.bounds, (key, magnitude(cap)), tokens);
    }

    /// Accuracy of the predictions that were made at the start of each output.
    pub fn calibration(&self) -> LengthCalibration {
        self.calibration
    }
}

/// Order of magnitude of a length bound, as a power of two.
fn magnitude(cap: u32) -> u32 {
    cap.max(1).ilog2()
}

fn add_to<K: Eq + std::hash::Hash>(groups: &mut HashMap<K, LengthHistogram>, key: K, tokens: u32) {
    if groups.len() >= GROUP_LIMIT && !groups.contains_key(&key) {
        return;
    }
    groups.entry(key).or_default().add(tokens);
}
