use base::{ByteCount, ByteRate, DomainName, ModelName, NodeName, RevisionNumber, TargetName};
use fleet::{DeclaredRollout, FleetDeclaration, TargetKind};

use super::rollout_plan::min_ready_of;
use super::{RolloutPlan, TargetPlan, WantedVersion};
use crate::RolloutKey;

/// Declared state of one domain in one revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainPlan {
    /// Domain.
    pub domain: DomainName,
    /// Revision of the declaration.
    pub revision: RevisionNumber,
    /// Declared nodes of the domain, sorted.
    pub nodes: Vec<NodeName>,
    /// Engines of the domain, sorted by name.
    pub targets: Vec<TargetPlan>,
    /// All rollouts of the fleet, including those that select no target of this domain.
    pub rollouts: Vec<RolloutPlan>,
    /// Rate at which all targets of the domain together may read from the weight store.
    pub rate_share: ByteRate,
}

impl DomainPlan {
    /// Derives the plan of `domain` from a declaration.
    ///
    /// ```
    /// use base::RevisionNumber;
    /// use fleet::{KeySet, KeyText, make_head, validate_set};
    /// use orders::DomainPlan;
    /// let text = "[fleet]\nweight_rate = 800\n[domain patan]\n[domain balaju]\n\
    ///     [node n1]\ndomain = patan\npeer_address = 192.0.2.1:1\n";
    /// let keys = vec![KeyText::new("fleet.ini", text)];
    /// let fleet = validate_set(&KeySet::new(make_head(1, &keys), keys)).unwrap();
    /// let domain = "patan".parse().unwrap();
    /// let plan = DomainPlan::new(&fleet, RevisionNumber::new(1, 1), &domain);
    /// assert_eq!(plan.rate_share.0, 400);
    /// ```
    pub fn new(fleet: &FleetDeclaration, revision: RevisionNumber, domain: &DomainName) -> Self {
        let engines = fleet
            .targets
            .iter()
            .filter(|target| target.kind == TargetKind::Engine && target.domain == *domain);
        let mut targets: Vec<TargetPlan> = engines
            .clone()
            .map(|target| TargetPlan {
                name: target.name.clone(),
                role: target.role,
                fencing: target.fencing,
                wanted: Vec::new(),
            })
            .collect();
        let mut rollouts = Vec::with_capacity(fleet.rollouts.len());
        for (at, rollout) in fleet.rollouts.iter().enumerate() {
            let matches = engines.clone().enumerate();
            let selected: Vec<usize> = matches
                .filter(|(_, target)| rollout.targets.matches(&target.labels))
                .map(|(position, _)| position)
                .collect();
            for position in &selected {
                add_wanted(&mut targets[*position], rollout, at);
            }
            rollouts.push(plan_rollout(fleet, rollout, revision, selected));
        }
        let nodes = fleet.nodes.iter().filter(|node| node.domain == *domain);
        let domains = fleet.domains.len().max(1) as u64;
        Self {
            domain: domain.clone(),
            revision,
            nodes: nodes.map(|node| node.name.clone()).collect(),
            targets,
            rollouts,
            rate_share: ByteRate(fleet.weight_rate.0 / domains),
        }
    }

    /// Returns the position of a target in `targets`.
    pub fn position(&self, target: &TargetName) -> Option<usize> {
        let found = self.targets.binary_search_by(|plan| plan.name.cmp(target));
        found.ok()
    }

    /// Returns the position of a rollout in `rollouts`.
    pub fn rollout(&self, name: &str) -> Option<usize> {
        let mut rollouts = self.rollouts.iter();
        rollouts.position(|plan| plan.name == name)
    }

    /// Minimum number of targets of the domain that must keep serving the model: the sum over its
    /// rollouts, but no more than the targets that are to serve the model.
    pub fn min_ready(&self, model: &ModelName) -> usize {
        let rollouts = self.rollouts.iter().filter(|plan| plan.model == *model);
        let sum: usize = rollouts.map(|plan| plan.min_ready).sum();
        let wants =
            |target: &&TargetPlan| target.wanted.iter().any(|wanted| wanted.model == *model);
        sum.min(self.targets.iter().filter(wants).count())
    }
}

/// Adds the version of the rollout at position `at` to the wanted versions of a target.
fn add_wanted(target: &mut TargetPlan, rollout: &DeclaredRollout, at: usize) {
    let same = |wanted: &&mut WantedVersion| {
        wanted.model == rollout.model && wanted.version == rollout.version
    };
    let Some(wanted) = target.wanted.iter_mut().find(same) else {
        target.wanted.push(WantedVersion {
            model: rollout.model.clone(),
            version: rollout.version.clone(),
            adapters: rollout.adapters.clone(),
            rollouts: vec![at],
        });
        return;
    };
    wanted.rollouts.push(at);
    wanted.adapters.extend(rollout.adapters.iter().cloned());
    wanted.adapters.sort_unstable();
    wanted.adapters.dedup();
}

fn plan_rollout(
    fleet: &FleetDeclaration,
    rollout: &DeclaredRollout,
    revision: RevisionNumber,
    selected: Vec<usize>,
) -> RolloutPlan {
    let model = fleet.model(&rollout.model);
    RolloutPlan {
        key: RolloutKey::new(rollout, revision),
        name: rollout.name.clone(),
        model: rollout.model.clone(),
        version: rollout.version.clone(),
        weight_bytes: model.map_or(ByteCount(0), |model| model.weight_bytes),
        min_ready: min_ready_of(selected.len(), rollout.least_capacity),
        selected,
        failure_limit: rollout.failure_limit as usize,
    }
}
