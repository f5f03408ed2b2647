use std::sync::Arc;

use base::{ClockTime, IncarnationNumber, TargetName, TimeSpan};
use entry::{
    ConfigLag, ConfigVersion, ItemMirror, LeaseGuard, PublishedItem, ServeConfig, StoreEra,
    StorePosition, TargetRecord,
};

use smol_str::SmolStr;

use super::HistoryKeeper;
use crate::{DecodeError, ViewArea, ViewDecoder};

/// A run of a target.
type TargetRun = (TargetName, IncarnationNumber);

/// Record of a target as decoded from one revision of its entry.
#[derive(Clone, Debug)]
struct DecodedEntry {
    key: SmolStr,
    revision: u64,
    read_at: ClockTime,
    /// `None` if the entry can't be decoded.
    record: Option<TargetRecord>,
}

/// The published items that were read, and the configuration and target records decoded from them.
#[derive(Debug, Default)]
pub struct ViewState {
    /// Copy of the items of the configuration.
    pub config_items: ItemMirror,
    /// Copy of the entries of targets.
    pub target_items: ItemMirror,
    /// Configuration in force.
    pub config: Option<Arc<ServeConfig>>,
    /// Decides whether targets whose entries disappeared are gone, or only their leases expired.
    pub guard: LeaseGuard,
    /// Latest position of the store at which the configuration may have changed, as far as reads of
    /// targets show.
    pub config_hint: StorePosition,
    /// Versions of the configuration that peers have in force and this node lacks.
    pub config_lag: ConfigLag,
    /// When the store or a peer last confirmed that the configuration is up to date.
    pub config_at: ClockTime,
    /// When the store or a peer last confirmed that the targets are up to date.
    pub targets_at: ClockTime,
    /// When the copy of the targets was last complete before a change of it that the balancer does not
    /// know yet; `None` if it knows all.
    listed_at: Option<ClockTime>,
    /// Runs of targets that peers were told to be leaving, as the first list of the era was out of date.
    outdated: Vec<TargetRun>,
    /// Decoded entries of targets, sorted by key.
    decoded: Vec<DecodedEntry>,
}

impl ViewState {
    /// Creates the state of a node that has read nothing; targets renew their leases at this interval.
    pub fn new(renewal_interval: TimeSpan) -> Self {
        Self {
            guard: LeaseGuard::new(renewal_interval),
            ..Self::default()
        }
    }

    /// Copy of the items of an area.
    pub fn mirror(&self, area: ViewArea) -> &ItemMirror {
        match area {
            ViewArea::Config => &self.config_items,
            ViewArea::Targets => &self.target_items,
        }
    }

    /// Copy of the items of an area, to be changed.
    pub fn mirror_mut(&mut self, area: ViewArea) -> &mut ItemMirror {
        match area {
            ViewArea::Config => &mut self.config_items,
            ViewArea::Targets => &mut self.target_items,
        }
    }

    /// When the store or a peer last confirmed that an area is up to date.
    pub fn confirmed_at(&self, area: ViewArea) -> ClockTime {
        match area {
            ViewArea::Config => self.config_at,
            ViewArea::Targets => self.targets_at,
        }
    }

    /// Records that the copy of an area was up to date at `at`, as far as what was read is of its era.
    pub fn confirm_read(&mut self, area: ViewArea, era: StoreEra, at: ClockTime) {
        if self
            .mirror(area)
            .position()
            .is_some_and(|known| known.era == era)
        {
            self.confirm(area, at);
        }
    }

    /// Records that an area was up to date at `at`.
    pub fn confirm(&mut self, area: ViewArea, at: ClockTime) {
        let confirmed = match area {
            ViewArea::Config => &mut self.config_at,
            ViewArea::Targets => &mut self.targets_at,
        };
        *confirmed = at.max(*confirmed);
    }

    /// Records, before it is confirmed, that the copy of an area has changed.
    pub fn record_change(&mut self, area: ViewArea) {
        if area == ViewArea::Targets {
            self.listed_at.get_or_insert(self.targets_at);
        }
    }

    /// Replaces the copy of an area by all items as of a position; returns whether anything changed. What
    /// is newer by its content is kept against a list of a later era, and taken over from one that is
    /// older than the copy.
    pub fn replace(
        &mut self,
        now: ClockTime,
        area: ViewArea,
        position: StorePosition,
        items: Vec<PublishedItem>,
        codec: &dyn ViewDecoder,
    ) -> bool {
        let rules = HistoryKeeper::new(now, area, codec);
        let mirror = self.mirror_mut(area);
        if mirror.precedes_era_of(position) {
            mirror.replace_history(position, items, &rules);
            if area == ViewArea::Targets {
                self.guard.on_new_era(now);
                // Revisions are given out again, so that they don't tell which entries changed.
                self.decoded.clear();
            }
            return true;
        }
        let is_older = mirror.position().is_some_and(|known| known >= position);
        let kept = mirror.kept().len();
        let changed = match (is_older, area) {
            (false, _) => mirror.replace_by(position, items, &rules),
            (true, ViewArea::Config) => mirror.adopt_newer(items, &rules),
            (true, ViewArea::Targets) => false,
        };
        if area == ViewArea::Targets && self.target_items.kept().len() > kept {
            // These entries have newer content at the revision that was decoded.
            self.decoded.clear();
        }
        changed
    }

    /// Takes over the entries of targets against which newer content was kept for long enough; returns
    /// whether there were any.
    pub fn expire_kept(&mut self, now: ClockTime) -> bool {
        let changed = self.target_items.expire_kept(now);
        if changed {
            // These entries have the revisions of those that were kept against them.
            self.decoded.clear();
        }
        changed
    }

    /// Finds the runs of targets that are known to be draining or gone although the first list of the era
    /// says otherwise.
    pub fn find_outdated_runs(&mut self, codec: &dyn ViewDecoder) -> Vec<TargetRun> {
        let kept = self.target_items.kept().iter();
        let outdated = kept.filter(|kept| {
            let known = self.target_items.item(kept.key());
            let known = known.map(|item| codec.read_target(item));
            known.is_none_or(|record| record.is_ok_and(|record| record.is_leaving))
        });
        let records = outdated.filter_map(|kept| codec.read_target(kept.listed()).ok());
        let runs = records.map(|record| (record.name, record.incarnation));
        self.outdated = runs.collect();
        self.outdated.clone()
    }

    /// Removes and returns the outdated runs that are listed again as not leaving.
    pub fn take_returned_runs(&mut self, records: &[TargetRecord]) -> Vec<TargetRun> {
        let has_returned = |run: &mut TargetRun| {
            let mut listed = records.iter();
            listed.any(|one| one.name == run.0 && one.incarnation == run.1 && !one.is_leaving)
        };
        self.outdated.extract_if(.., has_returned).collect()
    }

    /// The guard that judges the removals of targets since this was last called.
    pub fn take_removal_guard(&mut self) -> LeaseGuard {
        self.guard.with_listed_at(self.listed_at.take())
    }

    /// Whether the configuration may have changed at the store since this node read it.
    pub fn may_lack_config(&self) -> bool {
        let known = self.config_items.position();
        known.is_some_and(|known| known < self.config_hint)
    }

    /// Forgets that the configuration may have changed up to `hint`, as the store was asked since.
    pub fn settle_config_hint(&mut self, hint: StorePosition) {
        if self.config_hint <= hint {
            self.config_hint = StorePosition::default();
        }
    }

    /// Version of the configuration in force; the default before there is one.
    pub fn version(&self) -> ConfigVersion {
        self.config
            .as_ref()
            .map_or(ConfigVersion::default(), |config| config.version)
    }

    /// Decodes the configuration and puts it in force if it is newer; returns it in that case.
    ///
    /// # Errors
    /// If it can't be decoded; the one in force stays.
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

    /// Decodes the entries of targets; returns the records of all as of now, and the failures of entries that
    /// can't be decoded and are new or changed.
    ///
    /// Entries that did not change are not decoded again, since this runs on each change of a target.
    pub fn decode_targets(
        &mut self,
        now: ClockTime,
        codec: &dyn ViewDecoder,
    ) -> (Vec<TargetRecord>, Vec<DecodeError>) {
        let mut failures = Vec::new();
        let mut decoded = Vec::new();
        for item in self.target_items.items() {
            let known = self
                .decoded
                .binary_search_by(|entry| entry.key.cmp(&item.key));
            let known = known.map(|at| &self.decoded[at]);
            if let Ok(entry) = known
                && entry.revision == item.revision
            {
                decoded.push(entry.clone());
                continue;
            }
            let record = codec.read_target(item);
            decoded.push(DecodedEntry {
                key: item.key.clone(),
                revision: item.revision,
                read_at: now,
                record: record.map_err(|failure| failures.push(failure)).ok(),
            });
        }
        let records = decoded.iter().filter_map(|entry| {
            let mut record = entry.record.clone()?;
            let age = now.since(entry.read_at);
            record.cold_left = record.cold_left.saturating_sub(age);
            Some(record)
        });
        let records = records.collect();
        self.decoded = decoded;
        (records, failures)
    }
}
