use std::collections::VecDeque;

use base::{ClockTime, ServiceName, TimeSpan};

/// Length of one interval of the sliding window.
const INTERVAL: TimeSpan = TimeSpan::new(500);
/// Fraction of the budget that nodes use. The rest is a margin, since a node does not see the
/// retries and calls of the others.
const USED_FRACTION: f64 = 0.8;

/// Calls and retries in one interval of a window.
#[derive(Clone, Copy, Debug)]
struct WindowInterval {
    start: ClockTime,
    calls: u32,
    retries: u32,
}

/// Sliding window of a service.
#[derive(Clone, Debug)]
struct ServiceWindow {
    service: ServiceName,
    intervals: VecDeque<WindowInterval>,
}

/// Limits the retries of this node so that the retries of all nodes stay within one budget.
///
/// A retry is any send of a call beyond the first. In each window, the retries to a service may be
/// a ratio of its calls plus a fixed number. A node applies the ratio to the calls that it sees and
/// uses an equal part of the fixed number.
///
/// ```
/// use base::{ClockTime, TimeSpan};
/// let service: base::ServiceName = "orders".parse().unwrap();
/// let mut share = entry::RetryShare::new(0.2, 10.0, TimeSpan::from_secs(10));
/// let now = ClockTime::new(1_000);
/// assert!(share.try_take(now, &service, 4));
/// assert!(share.try_take(now, &service, 4));
/// assert!(!share.try_take(now, &service, 4));
/// ```
#[derive(Clone, Debug)]
pub struct RetryShare {
    ratio: f64,
    extra: f64,
    window: TimeSpan,
    /// Sorted by service.
    services: Vec<ServiceWindow>,
}

impl RetryShare {
    /// Creates the share of a budget of `ratio` times the calls plus `extra` in each `window`.
    pub fn new(ratio: f64, extra: f64, window: TimeSpan) -> Self {
        Self {
            ratio,
            extra,
            window,
            services: Vec::new(),
        }
    }

    /// Changes the budget; the counts are kept.
    pub fn set_budget(&mut self, ratio: f64, extra: f64, window: TimeSpan) {
        self.ratio = ratio;
        self.extra = extra;
        self.window = window;
    }

    /// Counts a call of a caller to a service.
    pub fn record_call(&mut self, now: ClockTime, service: &ServiceName) {
        self.current_interval(now, service).calls += 1;
    }

    /// Takes one retry if the share allows it; returns whether it does. `nodes` nodes share the
    /// budget.
    pub fn try_take(&mut self, now: ClockTime, service: &ServiceName, nodes: usize) -> bool {
        self.current_interval(now, service);
        let Some(window) = self.find(service).ok().map(|at| &self.services[at]) else {
            return false;
        };
        let calls: u32 = window.intervals.iter().map(|interval| interval.calls).sum();
        let retries: u32 = window
            .intervals
            .iter()
            .map(|interval| interval.retries)
            .sum();
        let fixed = self.extra / nodes.max(1) as f64;
        let allowed = USED_FRACTION * (self.ratio * f64::from(calls) + fixed);
        if f64::from(retries + 1) > allowed {
            return false;
        }
        self.current_interval(now, service).retries += 1;
        true
    }

    /// Current interval of a service's window; intervals older than the window are dropped.
    fn current_interval(&mut self, now: ClockTime, service: &ServiceName) -> &mut WindowInterval {
        let at = match self.find(service) {
            Ok(at) => at,
            Err(at) => {
                let service = service.clone();
                let intervals = VecDeque::new();
                self.services
                    .insert(at, ServiceWindow { service, intervals });
                at
            }
        };
        let intervals = &mut self.services[at].intervals;
        let window = self.window;
        while intervals
            .front()
            .is_some_and(|interval| now.since(interval.start) > window + INTERVAL)
        {
            intervals.pop_front();
        }
        let start = ClockTime::new(now.as_millis() / INTERVAL.as_millis() * INTERVAL.as_millis());
        if intervals
            .back()
            .is_none_or(|interval| interval.start < start)
        {
            intervals.push_back(WindowInterval {
                start,
                calls: 0,
                retries: 0,
            });
        }
        let last = intervals.len() - 1;
        &mut intervals[last]
    }

    fn find(&self, service: &ServiceName) -> Result<usize, usize> {
        self.services
            .binary_search_by(|window| window.service.cmp(service))
    }
}
