use std::fmt;

use base::{AdapterName, ModelName, VersionName};
use fleet::EngineRole;
use serde::{Deserialize, Serialize};
use strum::IntoStaticStr;

/// What a target is ordered to do. Orders are idempotent: carrying one out again has no further
/// effect.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Load a version of a model.
    Load {
        /// Model.
        model: ModelName,
        /// Version.
        version: VersionName,
    },
    /// Unload a version of a model and its adapters once no request uses it.
    Unload {
        /// Model.
        model: ModelName,
        /// Version.
        version: VersionName,
    },
    /// Load an adapter for a version.
    LoadAdapter {
        /// Model.
        model: ModelName,
        /// Version.
        version: VersionName,
        /// Adapter.
        adapter: AdapterName,
    },
    /// Unload an adapter of a version.
    UnloadAdapter {
        /// Model.
        model: ModelName,
        /// Version.
        version: VersionName,
        /// Adapter.
        adapter: AdapterName,
    },
    /// Change the role.
    SetRole {
        /// Wanted role.
        role: EngineRole,
    },
}

impl OrderAction {
    /// Name of the action as the engine interface spells it.
    ///
    /// ```
    /// let role = "decode".parse().unwrap();
    /// assert_eq!(orders::OrderAction::SetRole { role }.name(), "set_role");
    /// ```
    pub fn name(&self) -> &'static str {
        self.into()
    }

    /// Tells whether the target reads weights from the weight store to carry this out.
    pub fn is_load(&self) -> bool {
        matches!(self, Self::Load { .. } | Self::LoadAdapter { .. })
    }
}

impl fmt::Display for OrderAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = self.name();
        match self {
            Self::Load { model, version } | Self::Unload { model, version } => {
                write!(f, "{name} {model}:{version}")
            }
            Self::LoadAdapter {
                model,
                version,
                adapter,
            }
            | Self::UnloadAdapter {
                model,
                version,
                adapter,
            } => write!(f, "{name} {model}:{version}+{adapter}"),
            Self::SetRole { role } => write!(f, "{name} {role}"),
        }
    }
}
