use base::{AdapterName, ClockTime, DomainName, IncarnationNumber, ModelName, TargetName};
use base::{TimeSpan, VersionName};
use fleet::EngineRole;
use orders::TargetOrder;
use orders::{ActualState, FencingNumber, LoadState, LoadedVersion, OrderAction, OrderOutcome};

/// A simulated engine that loads weights at the rate given in the order.
pub struct FakeTarget {
    pub name: TargetName,
    pub domain: DomainName,
    /// Incarnation of the target.
    pub incarnation: u64,
    pub alive: bool,
    pub leaving: bool,
    pub fencing: bool,
    /// Number of versions that fit into memory.
    pub version_limit: usize,
    /// Versions that fail to load.
    pub broken_versions: Vec<VersionName>,
    pub role: Option<EngineRole>,
    pub versions: Vec<LoadedVersion>,
    /// Highest fencing number seen.
    pub highest: Option<FencingNumber>,
    /// Size of the weights of a version.
    pub bytes: u64,
    load_ends_at: Option<ClockTime>,
}

impl FakeTarget {
    pub fn new(name: TargetName, domain: DomainName, bytes: u64, fencing: bool) -> Self {
        Self {
            name,
            domain,
            incarnation: 1,
            alive: true,
            leaving: false,
            fencing,
            version_limit: 2,
            broken_versions: Vec::new(),
            role: None,
            versions: Vec::new(),
            highest: None,
            bytes,
            load_ends_at: None,
        }
    }

    /// Adds a ready version, as an earlier migration might have left it.
    pub fn add_version(&mut self, version: &str) {
        let model = "quill".parse().unwrap();
        let version = version.parse().unwrap();
        let entry = LoadedVersion::new(model, version, LoadState::Ready);
        self.versions.push(entry);
    }

    /// Whether requests can use some version of the model.
    pub fn serves(&self) -> bool {
        let ready = |entry: &LoadedVersion| entry.is_ready() && entry.model.as_str() == "quill";
        self.alive && !self.leaving && self.versions.iter().any(ready)
    }

    /// Whether requests can use this version.
    pub fn has(&self, version: &str) -> bool {
        let same = |entry: &LoadedVersion| entry.version.as_str() == version && entry.is_ready();
        self.alive && self.versions.iter().any(same)
    }

    pub fn restart(&mut self) {
        self.incarnation += 1;
        self.alive = true;
        self.versions.clear();
        self.role = None;
        self.highest = None;
        self.load_ends_at = None;
    }

    /// Total rate of the loads in progress.
    pub fn rate(&self) -> u64 {
        let entries = self.versions.iter().filter(|entry| entry.is_loading());
        let rates = entries.filter_map(|entry| entry.load_rate);
        if self.alive {
            rates.map(|rate| rate.0).sum()
        } else {
            0
        }
    }

    pub fn actual(&self, now: ClockTime) -> ActualState {
        let mut actual =
            ActualState::new(self.name.clone(), IncarnationNumber(self.incarnation), now);
        actual.leaving = self.leaving;
        actual.role = self.role;
        actual.versions = self.versions.clone();
        actual.fencing = self.highest.filter(|_| self.fencing);
        actual
    }

    /// Ends the load in progress if its time has passed.
    pub fn advance(&mut self, now: ClockTime) {
        if self
            .load_ends_at
            .is_none_or(|load_ends_at| now < load_ends_at)
        {
            return;
        }
        self.load_ends_at = None;
        for entry in self.versions.iter_mut().filter(|entry| entry.is_loading()) {
            entry.load_rate = None;
            entry.state = match self.broken_versions.contains(&entry.version) {
                true => LoadState::failed("weights are damaged"),
                false => LoadState::Ready,
            };
        }
    }

    pub fn apply_order(&mut self, now: ClockTime, order: &TargetOrder) -> OrderOutcome {
        if self.fencing {
            if let Some(highest) = self.highest.filter(|highest| order.fencing < *highest) {
                return OrderOutcome::Refused(Some(highest));
            }
            self.highest = Some(order.fencing);
        }
        match &order.action {
            OrderAction::Load { model, version } => self.load(now, order, model, version),
            OrderAction::Unload { model, version } => {
                let same =
                    |entry: &LoadedVersion| entry.model == *model && entry.version == *version;
                if self
                    .versions
                    .iter()
                    .any(|entry| same(entry) && entry.is_loading())
                {
                    self.load_ends_at = None;
                }
                self.versions.retain(|entry| !same(entry));
            }
            OrderAction::LoadAdapter {
                model,
                version,
                adapter,
            } => self.set_adapter(model, version, adapter, true),
            OrderAction::UnloadAdapter {
                model,
                version,
                adapter,
            } => self.set_adapter(model, version, adapter, false),
            OrderAction::SetRole { role } => self.role = Some(*role),
        }
        OrderOutcome::Accepted
    }

    fn load(
        &mut self,
        now: ClockTime,
        order: &TargetOrder,
        model: &ModelName,
        version: &VersionName,
    ) {
        let same = |entry: &LoadedVersion| entry.model == *model && entry.version == *version;
        if self
            .versions
            .iter()
            .any(|entry| same(entry) && (entry.is_ready() || entry.is_loading()))
        {
            return;
        }
        self.versions.retain(|entry| !same(entry));
        let held = self
            .versions
            .iter()
            .filter(|entry| !matches!(entry.state, LoadState::Failed { .. }));
        let mut entry = LoadedVersion::new(model.clone(), version.clone(), LoadState::Loading);
        if held.count() >= self.version_limit {
            entry.state = LoadState::memory_full("pages are needed for the weights");
        } else if self.load_ends_at.is_none() {
            let rate = order.rate.map_or(u64::MAX, |rate| rate.0.max(1));
            entry.load_rate = order.rate;
            self.load_ends_at = Some(now + TimeSpan::new(self.bytes * 1_000 / rate));
        } else {
            return;
        }
        self.versions.push(entry);
    }

    fn set_adapter(
        &mut self,
        model: &ModelName,
        version: &VersionName,
        name: &AdapterName,
        on: bool,
    ) {
        let same = |entry: &&mut LoadedVersion| entry.model == *model && entry.version == *version;
        let Some(entry) = self.versions.iter_mut().find(same) else {
            return;
        };
        entry.adapters.retain(|known| known != name);
        if on {
            entry.adapters.push(name.clone());
            entry.adapters.sort_unstable();
        }
    }
}
