use std::net::SocketAddr;
use std::sync::Arc;

use base::TimeSpan;
use entry::{AnswerReport, ItemChange, StoreEra, StorePosition};
use serde::{Deserialize, Serialize};

use super::ExtendedMessage;
use crate::{GatewayCore, ItemOrigin, ViewArea};

/// Result of applying the update of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// The update changed items of this node.
    Applied,
    /// The update contained nothing new.
    Unchanged,
    /// The update was not applied, as this node lacks the changes before it.
    Gap,
}

/// Changes of the published items of one area, or all its items, as one node sends them to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ItemUpdate {
    /// Address of the sender for peers.
    pub address: SocketAddr,
    /// Revision after which the changes were made; `None` if `changes` holds all items of the area.
    pub base: Option<u64>,
    /// Revision up to which the changes are complete.
    pub revision: u64,
    /// Changes to apply in this order; all items, each as written, if `base` is `None`.
    pub changes: Vec<ItemChange>,
    /// Era of the store to which the revisions belong.
    #[serde(skip)]
    pub era: StoreEra,
    /// Whether the changes suit a copy as of exactly `base` only, as the sender skipped some later ones.
    #[serde(skip)]
    pub is_exact: bool,
    /// Time since the copy of the sender was last confirmed to be up to date; zero if it is an earlier
    /// build, which does not tell.
    #[serde(skip)]
    pub age: TimeSpan,
    /// What the sender knows of the answers of the store, which decides what removals mean.
    #[serde(skip)]
    pub answers: Option<AnswerReport>,
}

/// Parts of an update that earlier builds don't know.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UpdateExtension {
    #[serde(default, skip_serializing_if = "StoreEra::is_first")]
    era: StoreEra,
    #[serde(default)]
    is_exact: bool,
    #[serde(default)]
    age: TimeSpan,
    #[serde(default)]
    answers: Option<AnswerReport>,
}

impl ExtendedMessage for ItemUpdate {
    type Extension = UpdateExtension;

    fn take_extension(&mut self) -> UpdateExtension {
        UpdateExtension {
            era: std::mem::take(&mut self.era),
            is_exact: std::mem::take(&mut self.is_exact),
            age: std::mem::take(&mut self.age),
            answers: self.answers.take(),
        }
    }

    fn extend(&mut self, extension: UpdateExtension) {
        self.era = extension.era;
        self.is_exact = extension.is_exact;
        self.age = extension.age;
        self.answers = extension.answers;
    }
}

impl ItemUpdate {
    /// Creates an update with the changes of an area after revision `after`, or with all items if
    /// the changes since then are no longer kept; `None` if this node has not read the area yet.
    pub fn of_core(
        core: &GatewayCore,
        area: ViewArea,
        after: Option<StorePosition>,
    ) -> Option<Self> {
        core.with_state(|state, now| {
            let mirror = state.view.mirror(area);
            let StorePosition { era, revision } = mirror.position()?;
            let recent =
                after.and_then(|after| Some((after.revision, mirror.changes_since(after)?)));
            let (base, changes) = match recent {
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
                era,
                is_exact: base.is_some_and(|base| mirror.has_skipped_after(base)),
                age: now.since(state.view.confirmed_at(area)),
                answers: state.view.guard.report(now),
            })
        })
    }

    /// Applies the update of a peer to an area of this node.
    pub fn apply(self, core: &Arc<GatewayCore>, area: ViewArea) -> UpdateOutcome {
        if let Some(report) = self.answers {
            core.record_peer_report(report);
        }
        let origin = ItemOrigin::Peer(self.age);
        let known = core.with_state(|state, _| state.view.mirror(area).position());
        let position = StorePosition::new(self.era, self.revision);
        match (self.base, known) {
            // Changes of an earlier era mean nothing any more.
            (Some(_), Some(known)) if known.era > self.era => UpdateOutcome::Unchanged,
            (Some(_), Some(known)) if known.era < self.era => UpdateOutcome::Gap,
            (None, _) => {
                let items = self.changes.into_iter().filter_map(|change| match change {
                    ItemChange::Written(item) => Some(item),
                    ItemChange::Removed { .. } => None,
                });
                match core.replace_items(area, position, items.collect(), origin) {
                    true => UpdateOutcome::Applied,
                    false => UpdateOutcome::Unchanged,
                }
            }
            (Some(base), Some(known))
                if known.revision == base || known.revision > base && !self.is_exact =>
            {
                let batch = crate::ItemBatch {
                    position,
                    changes: self.changes,
                };
                match core.apply_changes(area, batch, origin) {
                    true => UpdateOutcome::Applied,
                    false => UpdateOutcome::Unchanged,
                }
            }
            (Some(_), _) => UpdateOutcome::Gap,
        }
    }
}
