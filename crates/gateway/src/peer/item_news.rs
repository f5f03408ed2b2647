use std::net::SocketAddr;
use std::sync::Arc;

use entry::ItemChange;
use serde::{Deserialize, Serialize};

use crate::{GatewayCore, ViewArea};

/// What news of a peer meant for this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewsEnd {
    /// They changed something.
    New,
    /// Everything was known.
    Known,
    /// Changes before these are missing.
    Missing,
}

/// Changes of the items of one area, as one node passes them to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ItemNews {
    /// Address of the sender for peers.
    pub address: SocketAddr,
    /// Revision from which the changes lead on; `None` if they are all items.
    pub base: Option<u64>,
    /// Revision up to which the changes are complete.
    pub revision: u64,
    /// The changes.
    pub changes: Vec<ItemChange>,
}

impl ItemNews {
    /// Describes what changed in an area after `after`, or all of it; `None` if this node has not
    /// read the area yet.
    pub fn of_core(core: &GatewayCore, area: ViewArea, after: Option<u64>) -> Option<Self> {
        core.with_state(|state, _| {
            let mirror = state.view.mirror(area);
            let revision = mirror.revision()?;
            let since = after.and_then(|after| Some((after, mirror.changes_since(after)?)));
            let (base, changes) = match since {
                Some((after, changes)) => (Some(after), changes),
                None => {
                    let items = mirror.items().iter().cloned();
                    (None, items.map(ItemChange::Written).collect())
                }
            };
            Some(Self {
                address: core.settings.peer_address,
                base,
                revision,
                changes,
            })
        })
    }

    /// Takes what a peer says.
    pub fn apply(self, core: &Arc<GatewayCore>, area: ViewArea) -> NewsEnd {
        let known = core.with_state(|state, _| state.view.mirror(area).revision());
        match (self.base, known) {
            (None, _) => {
                let items = self.changes.into_iter().filter_map(|change| match change {
                    ItemChange::Written(item) => Some(item),
                    ItemChange::Removed { .. } => None,
                });
                match core.replace_items(area, self.revision, items.collect(), "peer") {
                    true => NewsEnd::New,
                    false => NewsEnd::Known,
                }
            }
            (Some(base), Some(known)) if known >= base => {
                let batch = crate::ItemBatch {
                    revision: self.revision,
                    changes: self.changes,
                };
                match core.apply_changes(area, batch, "peer") {
                    true => NewsEnd::New,
                    false => NewsEnd::Known,
                }
            }
            (Some(_), _) => NewsEnd::Missing,
        }
    }
}
