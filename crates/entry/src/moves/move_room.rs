use base::{ClockTime, ServiceName, TargetName, TimeSpan};

/// Largest number of leaving engines whose needs are kept.
const KEPT_NEEDS: usize = 32;
/// Time after which the need of a leaving engine counts half.
const HALF_LIFE: TimeSpan = TimeSpan::from_secs(10);
/// Time after which the need of a leaving engine is forgotten.
const NEED_EXPIRY: TimeSpan = TimeSpan::from_secs(60);
/// Time within which engines leave together: their generations need room at the same time. Engines
/// give about as much notice.
const TOGETHER_TIME: TimeSpan = TimeSpan::new(2_000);
/// Largest share of an engine's memory that is kept free for moves.
const MAX_SHARE: f64 = 0.25;

/// Memory that the generations of one leaving engine needed elsewhere.
#[derive(Clone, Debug)]
struct LeaveNeed {
    source: TargetName,
    service: ServiceName,
    began_at: ClockTime,
    /// Tokens of the generations that got room.
    moved: u64,
    /// Largest number of tokens of generations that waited for room at the same time, without those
    /// that got it later.
    short: u64,
}

/// Learns how much memory to keep free on the engines of a service for generations that have to
/// move, from what those of the engines that left lately needed.
///
/// Handles 32 leaving engines in a minute; the share takes time in proportion to the square of
/// those.
///
/// ```
/// use base::{ClockTime, TimeSpan};
/// let mut room = entry::MoveRoom::default();
/// let (service, engine) = ("pool".parse().unwrap(), "e1".parse().unwrap());
/// let now = ClockTime::new(1_000);
/// assert_eq!(room.share(now, &service, 100_000), 0.0);
/// room.record_moved(now, &engine, &service, 10_000);
/// assert_eq!(room.share(now, &service, 100_000), 0.1);
/// let later = now + TimeSpan::from_secs(10);
/// assert_eq!(room.share(later, &service, 100_000), 0.05);
/// ```
#[derive(Clone, Debug, Default)]
pub struct MoveRoom {
    needs: Vec<LeaveNeed>,
}

impl MoveRoom {
    /// Records that a generation of a leaving engine got room on another one.
    pub fn record_moved(
        &mut self,
        now: ClockTime,
        source: &TargetName,
        service: &ServiceName,
        tokens: u64,
    ) {
        let need = self.need_mut(now, source, service);
        need.moved += tokens;
        need.short = need.short.saturating_sub(tokens);
    }

    /// Records that generations with `tokens` tokens in all wait now for room that no engine has.
    pub fn record_short(
        &mut self,
        now: ClockTime,
        source: &TargetName,
        service: &ServiceName,
        tokens: u64,
    ) {
        let need = self.need_mut(now, source, service);
        need.short = need.short.max(tokens);
    }

    /// Share of the memory of its engines that a service keeps free for moves; `memory` is the
    /// memory of all of them. Zero if none left lately.
    pub fn share(&self, now: ClockTime, service: &ServiceName, memory: u64) -> f64 {
        let needs = self.needs.iter().filter(|need| need.service == *service);
        let together = |first: &LeaveNeed| {
            let end = first.began_at + TOGETHER_TIME;
            let same = needs.clone();
            let same = same.filter(|need| need.began_at >= first.began_at && need.began_at < end);
            let tokens: u64 = same.map(|need| need.moved + need.short).sum();
            let age = now.since(first.began_at).as_millis() as f64;
            tokens as f64 * 0.5_f64.powf(age / HALF_LIFE.as_millis() as f64)
        };
        let tokens = needs.clone().map(together).fold(0.0, f64::max);
        (tokens / memory.max(1) as f64).min(MAX_SHARE)
    }

    fn need_mut(
        &mut self,
        now: ClockTime,
        source: &TargetName,
        service: &ServiceName,
    ) -> &mut LeaveNeed {
        self.needs
            .retain(|need| now.since(need.began_at) < NEED_EXPIRY);
        let found = self.needs.iter().position(|need| need.source == *source);
        let at = found.unwrap_or_else(|| {
            if self.needs.len() == KEPT_NEEDS {
                self.needs.remove(0);
            }
            self.needs.push(LeaveNeed {
                source: source.clone(),
                service: service.clone(),
                began_at: now,
                moved: 0,
                short: 0,
            });
            self.needs.len() - 1
        });
        &mut self.needs[at]
    }
}
