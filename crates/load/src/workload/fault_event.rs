use base::{ClockTime, TimeSpan};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Time until a killed engine is replaced.
const RESTART_DELAY: TimeSpan = TimeSpan::from_secs(60);
/// Notice before a reclaimed engine ends.
const RECLAIM_NOTICE: TimeSpan = TimeSpan::from_secs(30);

/// A scheduled change of an engine in a trial, such as its death.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultEvent {
    /// When it takes place.
    pub at: ClockTime,
    /// Index of the engine slot, from zero. Slots at and above the plan's number of engines are
    /// empty until a `Started` event.
    pub engine: usize,
    /// What takes place.
    pub kind: FaultKind,
}

/// What happens to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// It dies at once; with `restart`, a replacement without work starts after that time.
    Killed {
        /// Time until the replacement runs.
        restart: Option<TimeSpan>,
    },
    /// It gets notice, should get no new work from then on, and dies after `notice`.
    Reclaimed {
        /// Time from the announcement to the end.
        notice: TimeSpan,
    },
    /// An engine without work starts, unless one runs in the slot.
    Started,
}

impl FaultEvent {
    /// Draws `count` faults between `from` and `until`, sorted by time. On average, of five
    /// faults two kill an engine that is replaced after a minute, two reclaim one with 30 s
    /// notice, and one adds an engine.
    ///
    /// ```
    /// use base::ClockTime;
    /// use load::FaultEvent;
    /// let (from, until) = (ClockTime::ZERO, ClockTime::new(600_000));
    /// let faults = FaultEvent::draw_schedule(12, from, until, 5, 1);
    /// assert_eq!(faults, FaultEvent::draw_schedule(12, from, until, 5, 1));
    /// ```
    pub fn draw_schedule(
        engines: usize,
        from: ClockTime,
        until: ClockTime,
        count: usize,
        seed: u64,
    ) -> Vec<Self> {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut added = engines;
        let mut faults = Vec::with_capacity(count);
        for _ in 0..count {
            let at =
                random.random_range(from.as_millis()..=until.as_millis().max(from.as_millis()));
            let victim = random.random_range(0..engines.max(1));
            let (engine, kind) = match random.random_range(0..5) {
                0 | 1 => (
                    victim,
                    FaultKind::Killed {
                        restart: Some(RESTART_DELAY),
                    },
                ),
                2 | 3 => (
                    victim,
                    FaultKind::Reclaimed {
                        notice: RECLAIM_NOTICE,
                    },
                ),
                _ => {
                    added += 1;
                    (added - 1, FaultKind::Started)
                }
            };
            let at = ClockTime::new(at);
            faults.push(Self { at, engine, kind });
        }
        faults.sort_by_key(|fault| fault.at);
        faults
    }
}
