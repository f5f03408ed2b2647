use base::{ClockTime, TimeSpan};

/// Time after an outage of the store during which entries whose leases expired in it may reappear.
///
/// The platform restores them within about two seconds.
const RESTORE_WAIT: TimeSpan = TimeSpan::new(2_200);
/// Time for which removed targets are still used after a mass removal, if no outage was noticed.
///
/// It has to be below the 2 s after which a leaving target must get no more work.
const DOUBT_WAIT: TimeSpan = TimeSpan::new(1_600);
/// The removal of several targets at once is a mass removal if they are more than one in this many
/// of the ready targets.
const MASS_DIVISOR: usize = 2;

/// Decides whether entries that disappeared are targets that left, or targets that still run and
/// whose leases expired during an outage of the store.
///
/// ```
/// use base::ClockTime;
/// let mut guard = entry::LeaseGuard::default();
/// guard.on_store_lost();
/// guard.on_store_regained(ClockTime::new(5_000));
/// assert!(guard.keep_until(ClockTime::new(5_100), 1, 12).is_some());
/// assert!(guard.keep_until(ClockTime::new(9_000), 1, 12).is_none());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaseGuard {
    is_store_lost: bool,
    regained_at: Option<ClockTime>,
}

impl LeaseGuard {
    /// Records that the store stopped answering.
    pub fn on_store_lost(&mut self) {
        self.is_store_lost = true;
    }

    /// Records that the store answers; returns whether it had been lost.
    pub fn on_store_regained(&mut self, now: ClockTime) -> bool {
        let was_lost = std::mem::take(&mut self.is_store_lost);
        if was_lost {
            self.regained_at = Some(now);
        }
        was_lost
    }

    /// Time since the store answered again; `None` once its entries have been restored.
    pub fn regained_age(&self, now: ClockTime) -> Option<TimeSpan> {
        let age = now.since(self.regained_at?);
        (age < RESTORE_WAIT).then_some(age)
    }

    /// Records that a peer regained the store `age` ago. Removals that it reports are then as
    /// doubtful as removals that this node reads itself after an outage.
    pub fn on_peer_regained(&mut self, now: ClockTime, age: TimeSpan) {
        let at = ClockTime::new(now.as_millis().saturating_sub(age.as_millis()));
        self.regained_at = self.regained_at.max(Some(at));
    }

    /// Whether the store does not answer now.
    pub fn is_store_lost(&self) -> bool {
        self.is_store_lost
    }

    /// Time until which `removed` of `ready` targets that disappeared without an announcement are
    /// still used; `None` if the removal is taken at once.
    ///
    /// While the store is lost for this node, changes come from peers that it answers, so small
    /// removals are taken at once.
    pub fn keep_until(&self, now: ClockTime, removed: usize, ready: usize) -> Option<ClockTime> {
        if let Some(regained) = self.regained_at
            && now < regained + RESTORE_WAIT
        {
            return Some(regained + RESTORE_WAIT);
        }
        let is_mass = removed > 1 && removed * MASS_DIVISOR > ready;
        is_mass.then_some(now + DOUBT_WAIT)
    }
}
