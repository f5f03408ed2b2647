use base::{AdapterName, ClockTime, DomainName, IncarnationNumber, ModelName, TargetName};
use base::{TimeSpan, VersionName};
use fleet::EngineRole;
use orders::TargetOrder;
use orders::{FencingNumber, LoadState, LoadedVersion, OrderAction, OrderOutcome, TargetActual};

/// An engine that loads at the rate of the order.
pub struct FakeTarget {
    pub name: TargetName,
    pub domain: DomainName,
    pub run: u64,
    pub alive: bool,
    pub leaving: bool,
    pub fencing: bool,
    /// Versions that fit into memory.
    pub room: usize,
    pub broken: Vec<VersionName>,
    pub role: Option<EngineRole>,
    pub versions: Vec<LoadedVersion>,
    pub highest: Option<FencingNumber>,
    pub bytes: u64,
    done_at: Option<ClockTime>,
}

impl FakeTarget {
    pub fn new(name: TargetName, domain: DomainName, bytes: u64, fencing: bool) -> Self {
        Self {
            name,
            domain,
            run: 1,
            alive: true,
            leaving: false,
            fencing,
            room: 2,
            broken: Vec::new(),
            role: None,
            versions: Vec::new(),
            highest: None,
            bytes,
            done_at: None,
        }
    }

    /// Puts a version into memory as if an earlier migration had left it there.
    pub fn hold(&mut self, version: &str) {
        let model = "quill".parse().unwrap();
        let version = version.parse().unwrap();
        let entry = LoadedVersion::new(model, version, LoadState::Ready);
        self.versions.push(entry);
    }

    pub fn serves(&self) -> bool {
        let ready = |entry: &LoadedVersion| entry.is_ready() && entry.model.as_str() == "quill";
        self.alive && !self.leaving && self.versions.iter().any(ready)
    }

    pub fn has(&self, version: &str) -> bool {
        let same = |entry: &LoadedVersion| entry.version.as_str() == version && entry.is_ready();
        self.alive && self.versions.iter().any(same)
    }

    pub fn restart(&mut self) {
        self.run += 1;
        self.alive = true;
        self.versions.clear();
        self.role = None;
        self.highest = None;
        self.done_at = None;
    }

    pub fn rate(&self) -> u64 {
        let entries = self.versions.iter().filter(|entry| entry.is_loading());
        let rates = entries.filter_map(|entry| entry.load_rate);
        if self.alive {
            rates.map(|rate| rate.0).sum()
        } else {
            0
        }
    }

    pub fn actual(&self, now: ClockTime) -> TargetActual {
        let mut actual = TargetActual::new(self.name.clone(), IncarnationNumber(self.run), now);
        actual.leaving = self.leaving;
        actual.role = self.role;
        actual.versions = self.versions.clone();
        actual.fencing = self.highest.filter(|_| self.fencing);
        actual
    }

    pub fn advance(&mut self, now: ClockTime) {
        if self.done_at.is_none_or(|done_at| now < done_at) {
            return;
        }
        self.done_at = None;
        for entry in self.versions.iter_mut().filter(|entry| entry.is_loading()) {
            entry.load_rate = None;
            entry.state = match self.broken.contains(&entry.version) {
                true => LoadState::failed("weights are damaged"),
                false => LoadState::Ready,
            };
        }
    }

    pub fn take(&mut self, now: ClockTime, order: &TargetOrder) -> OrderOutcome {
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
                    self.done_at = None;
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
        OrderOutcome::Taken
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
        if held.count() >= self.room {
            entry.state = LoadState::memory_full("pages are needed for the weights");
        } else if self.done_at.is_none() {
            let rate = order.rate.map_or(u64::MAX, |rate| rate.0.max(1));
            entry.load_rate = order.rate;
            self.done_at = Some(now + TimeSpan::new(self.bytes * 1_000 / rate));
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
