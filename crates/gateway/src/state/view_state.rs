use std::sync::Arc;

use base::ClockTime;
use entry::{ConfigVersion, ItemMirror, LapseGuard, ServeConfig, TargetRecord};

use crate::{DecodeFailure, ViewArea, ViewCodec};

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
    pub guard: LapseGuard,
    /// When the store or a peer last confirmed the configuration.
    pub config_at: ClockTime,
    /// When the store or a peer last confirmed the targets.
    pub targets_at: ClockTime,
    /// Entries that could not be read, so that each is logged once.
    unreadable: Vec<(String, u64)>,
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
        codec: &dyn ViewCodec,
    ) -> Result<Option<Arc<ServeConfig>>, DecodeFailure> {
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
    pub fn read_targets(
        &mut self,
        codec: &dyn ViewCodec,
    ) -> (Vec<TargetRecord>, Vec<DecodeFailure>) {
        let mut records = Vec::new();
        let mut failures = Vec::new();
        let mut unreadable = Vec::new();
        for item in self.target_items.items() {
            match codec.read_target(item) {
                Ok(record) => records.push(record),
                Err(failure) => {
                    let seen = (item.key.to_string(), item.revision);
                    if !self.unreadable.contains(&seen) {
                        failures.push(failure);
                    }
                    unreadable.push(seen);
                }
            }
        }
        self.unreadable = unreadable;
        (records, failures)
    }
}
