use std::collections::VecDeque;

use base::{ClockTime, ServiceName, TimeSpan};

/// Length of one part of the window.
const PART: TimeSpan = TimeSpan::new(500);
/// Share of the budget that is used; the rest covers what nodes do not see of one another.
const SAFE_SHARE: f64 = 0.8;

#[derive(Clone, Copy, Debug)]
struct WindowPart {
    start: ClockTime,
    calls: u32,
    retries: u32,
}

#[derive(Clone, Debug)]
struct ServiceWindow {
    service: ServiceName,
    parts: VecDeque<WindowPart>,
}

/// Bounds the second sends of this node so that those of all nodes stay within one budget.
///
/// In each window, the sends of a service beyond the first of each call may be a ratio of its
/// calls and a fixed number more. A node uses the ratio on the calls that it sees and an equal part
/// of the fixed number.
///
/// ```
/// use base::{ClockTime, TimeSpan};
/// let service: base::ServiceName = "orders".parse().unwrap();
/// let mut share = entry::RetryShare::new(0.2, 10.0, TimeSpan::from_secs(10));
/// let now = ClockTime::new(1_000);
/// assert!(share.take(now, &service, 4));
/// assert!(share.take(now, &service, 4));
/// assert!(!share.take(now, &service, 4));
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
    /// Creates a share of a budget of `ratio` of the calls and `extra` more in each `window`.
    pub fn new(ratio: f64, extra: f64, window: TimeSpan) -> Self {
        Self {
            ratio,
            extra,
            window,
            services: Vec::new(),
        }
    }

    /// Changes the budget; what was counted stays.
    pub fn set_bounds(&mut self, ratio: f64, extra: f64, window: TimeSpan) {
        self.ratio = ratio;
        self.extra = extra;
        self.window = window;
    }

    /// Counts a call of a caller to a service.
    pub fn on_call(&mut self, now: ClockTime, service: &ServiceName) {
        self.part(now, service).calls += 1;
    }

    /// Takes one retry if the share has one, where `nodes` nodes share the budget.
    pub fn take(&mut self, now: ClockTime, service: &ServiceName, nodes: usize) -> bool {
        self.part(now, service);
        let Some(window) = self.find(service).ok().map(|at| &self.services[at]) else {
            return false;
        };
        let calls: u32 = window.parts.iter().map(|part| part.calls).sum();
        let retries: u32 = window.parts.iter().map(|part| part.retries).sum();
        let fixed = self.extra / nodes.max(1) as f64;
        let allowed = SAFE_SHARE * (self.ratio * f64::from(calls) + fixed);
        if f64::from(retries + 1) > allowed {
            return false;
        }
        self.part(now, service).retries += 1;
        true
    }

    /// Current part of a service's window; parts older than the window are dropped.
    fn part(&mut self, now: ClockTime, service: &ServiceName) -> &mut WindowPart {
        let at = match self.find(service) {
            Ok(at) => at,
            Err(at) => {
                let service = service.clone();
                let parts = VecDeque::new();
                self.services.insert(at, ServiceWindow { service, parts });
                at
            }
        };
        let parts = &mut self.services[at].parts;
        let window = self.window;
        while parts
            .front()
            .is_some_and(|part| now.since(part.start) > window + PART)
        {
            parts.pop_front();
        }
        let start = ClockTime::new(now.as_millis() / PART.as_millis() * PART.as_millis());
        if parts.back().is_none_or(|part| part.start < start) {
            parts.push_back(WindowPart {
                start,
                calls: 0,
                retries: 0,
            });
        }
        let last = parts.len() - 1;
        &mut parts[last]
    }

    fn find(&self, service: &ServiceName) -> Result<usize, usize> {
        self.services
            .binary_search_by(|window| window.service.cmp(service))
    }
}
