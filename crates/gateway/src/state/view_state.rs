use std::sync::Arc;

use base::ClockTime;
use entry::{ConfigVersion, ItemMirror, LeaseGuard, ServeConfig, TargetRecord};
use smol_str::SmolStr;

use crate::{DecodeError, ViewArea, ViewDecoder};

/// What one version of the entry of a target means.
#[derive(Clone, Debug)]
struct ReadEntry {
    key: SmolStr,
    revision: u64,
    /// `None` if it can't be read.
    record: Option<TargetRecord>,
}

/// The published items as read, and what they mean.
#[derive(Debug, Default)]
pub struct ViewState {
    /// Items of the configuration.
    pub config_items: ItemMirror,
    /// Entries of targets.
    pub target_items: ItemMirror,
    /// Configuration in force.
    pub config: Option<Arc<ServeConfig>>,
    /// Whether targets that vanished may only have lapsed.
    pub guard: LeaseGuard,
    /// When the store or a peer last confirmed the configuration.
    pub config_at: ClockTime,
    /// When the store or a peer last confirmed the targets.
    pub targets_at: ClockTime,
    /// What the entries of targets mean, as read last; sorted by key.
    read: Vec<ReadEntry>,
}

impl ViewState {
    /// Items of an area.
    pub fn mirror(&self, area: ViewArea) -> &ItemMirror {
        match area {
            ViewArea::Config => &self.config_items,
            ViewArea::Targets => &self.target_items,
        }
    }

    /// Items of an area, to change them.
    pub fn mirror_mut(&mut self, area: ViewArea) -> &mut ItemMirror {
        match area {
            ViewArea::Config => &mut self.config_items,
            ViewArea::Targets => &mut self.target_items,
        }
    }

    /// Notes that an area was confirmed.
    pub fn confirm(&mut self, area: ViewArea, now: ClockTime) {
        match area {
            ViewArea::Config => self.config_at = now,
            ViewArea::Targets => self.targets_at = now,
        }
    }

    /// Version in force.
    pub fn version(&self) -> ConfigVersion {
        self.config
            .as_ref()
            .map_or(ConfigVersion::default(), |config| config.version)
    }

    /// Puts the configuration of the items in force if it is newer; returns it then.
    ///
    /// # Errors
    /// If it can't be read; the last one stays in force.
    pub fn adopt_config(
        &mut self,
        codec: &dyn ViewDecoder,
    ) -> Result<Option<Arc<ServeConfig>>, DecodeError> {
        let Some(config) = codec.read_config(self.config_items.items())? else {
            return Ok(None);
        };
        if self.config.is_some() && config.version <= self.version() {
            return Ok(None);
        }
        let config = Arc::new(config);
        self.config = Some(config.clone());
        Ok(Some(config))
    }

    /// Reads the entries of targets; returns those that can't be read and were not seen before.
    ///
    /// Entries that did not change are not read again, since each change of one target comes here.
    pub fn read_targets(
        &mut self,
        codec: &dyn ViewDecoder,
    ) -> (Vec<TargetRecord>, Vec<DecodeError>) {
        let mut failures = Vec::new();
        let mut read = Vec::new();
        for item in self.target_items.items() {
            let known = self.read.binary_search_by(|entry| entry.key.cmp(&item.key));
            let known = known.map(|at| &self.read[at]);
            if let Ok(entry) = known
                && entry.revision == item.revision
            {
                read.push(entry.clone());
                continue;
            }
            let record = codec.read_target(item);
            read.push(ReadEntry {
                key: item.key.clone(),
                revision: item.revision,
                record: record.map_err(|failure| failures.push(failure)).ok(),
            });
        }
        let records = read.iter().filter_map(|entry| entry.record.clone());
        let records = records.collect();
        self.read = read;
        (records, failures)
    }
}
