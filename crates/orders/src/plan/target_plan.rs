use std::fmt;

use base::{AdapterName, ModelName, TargetName, VersionName};
use fleet::EngineRole;

use crate::{ActualState, LoadedVersion, OrderAction};

/// A version that a target is declared to serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WantedVersion {
    /// Model.
    pub model: ModelName,
    /// Version.
    pub version: VersionName,
    /// Adapters, sorted.
    pub adapters: Vec<AdapterName>,
    /// Positions of the rollouts that declare this version for the target.
    pub rollouts: Vec<usize>,
}

impl WantedVersion {
    /// Tells whether this is the version of `entry`.
    pub fn is_same(&self, entry: &LoadedVersion) -> bool {
        self.model == entry.model && self.version == entry.version
    }

    /// Tells whether `actual` serves the version with all its adapters.
    pub fn is_served(&self, actual: &ActualState) -> bool {
        let entry = actual.version(&self.model, &self.version);
        entry.is_some_and(|entry| {
            entry.is_ready() && self.adapters.iter().all(|name| entry.has_adapter(name))
        })
    }

    /// Tells whether the action loads this version or an adapter of it.
    pub fn is_loaded_by(&self, action: &OrderAction) -> bool {
        match action {
            OrderAction::Load { model, version }
            | OrderAction::LoadAdapter { model, version, .. } => {
                self.model == *model && self.version == *version
            }
            _ => false,
        }
    }
}

impl fmt::Display for WantedVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.model, self.version)?;
        self.adapters
            .iter()
            .try_for_each(|name| write!(f, "+{name}"))
    }
}

/// Declared state of one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetPlan {
    /// Target.
    pub name: TargetName,
    /// Wanted role; `None` leaves the role unchanged.
    pub role: Option<EngineRole>,
    /// Whether the target refuses orders with an old fencing number.
    pub fencing: bool,
    /// Wanted versions in the order of the rollouts.
    pub wanted: Vec<WantedVersion>,
}

impl TargetPlan {
    /// Returns the wanted version that corresponds to `entry`, if there is one.
    pub fn find(&self, entry: &LoadedVersion) -> Option<&WantedVersion> {
        self.wanted.iter().find(|wanted| wanted.is_same(entry))
    }

    /// Tells whether both plans declare the same state, regardless of which rollouts declare it.
    pub fn wants_same(&self, other: &Self) -> bool {
        let state = |wanted: &WantedVersion| {
            let WantedVersion {
                model,
                version,
                adapters,
                ..
            } = wanted.clone();
            (model, version, adapters)
        };
        self.role == other.role
            && self
                .wanted
                .iter()
                .map(state)
                .eq(other.wanted.iter().map(state))
    }

    /// Tells whether `actual` matches the plan: everything wanted is served and nothing else is
    /// loaded.
    pub fn is_met(&self, actual: &ActualState) -> bool {
        let role = self.role.is_none() || self.role == actual.role;
        let served = self.wanted.iter().all(|wanted| wanted.is_served(actual));
        let known = |entry: &LoadedVersion| {
            let wanted = self.find(entry);
            wanted.is_some_and(|wanted| wanted.adapters.len() == entry.adapters.len())
        };
        role && served && actual.versions.iter().all(known)
    }
}

impl fmt::Display for TargetPlan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut gap = "";
        if let Some(role) = self.role {
            write!(f, "{role}")?;
            gap = " ";
        }
        for wanted in &self.wanted {
            write!(f, "{gap}{wanted}")?;
            gap = " ";
        }
        Ok(())
    }
}
