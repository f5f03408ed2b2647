use base::{ClockTime, TimeSpan};

/// Time after the return of the store in which entries that lapsed during its outage come back.
///
/// Source: the platform restores them within about two seconds.
const RETURN_WAIT: TimeSpan = TimeSpan::new(2_200);
/// Time for which a mass removal without notice is doubted when no outage was noticed.
///
/// It stays under the time in which a leaving target must get no more work (2 s).
const DOUBT_WAIT: TimeSpan = TimeSpan::new(1_600);
/// A removal of more than one in so many ready targets at once is a mass removal.
const MASS_DIVISOR: usize = 2;

/// Decides whether entries that disappeared are targets that left or leases that ran out while
/// the store was away.
///
/// ```
/// use base::ClockTime;
/// let mut guard = entry::LapseGuard::default();
/// guard.on_lost();
/// guard.on_regained(ClockTime::new(5_000));
/// assert!(guard.keep_until(ClockTime::new(5_100), 1, 12).is_some());
/// assert!(guard.keep_until(ClockTime::new(9_000), 1, 12).is_none());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct LapseGuard {
    is_lost: bool,
    regained_at: Option<ClockTime>,
}

impl LapseGuard {
    /// The store stopped answering.
    pub fn on_lost(&mut self) {
        self.is_lost = true;
    }

    /// The store answers; returns whether it had been lost.
    pub fn on_regained(&mut self, now: ClockTime) -> bool {
        let was_lost = std::mem::take(&mut self.is_lost);
        if was_lost {
            self.regained_at = Some(now);
        }
        was_lost
    }

    /// Time since the store answered again, while that matters.
    pub fn regained_age(&self, now: ClockTime) -> Option<TimeSpan> {
        let age = now.since(self.regained_at?);
        (age < RETURN_WAIT).then_some(age)
    }

    /// A peer regained the store `age` ago; its targets are as doubtful as own ones would be.
    pub fn on_peer_regained(&mut self, now: ClockTime, age: TimeSpan) {
        let at = ClockTime::new(now.as_millis().saturating_sub(age.as_millis()));
        self.regained_at = self.regained_at.max(Some(at));
    }

    /// Whether the store does not answer now.
    pub fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// Until when `removed` of `ready` targets that vanished without notice are still used.
    ///
    /// While the store is lost, changes come from peers that it answers, and are believed.
    pub fn keep_until(&self, now: ClockTime, removed: usize, ready: usize) -> Option<ClockTime> {
        if let Some(regained) = self.regained_at
            && now < regained + RETURN_WAIT
        {
            return Some(regained + RETURN_WAIT);
        }
        let is_mass = removed > 1 && removed * MASS_DIVISOR > ready;
        is_mass.then_some(now + DOUBT_WAIT)
    }
}
