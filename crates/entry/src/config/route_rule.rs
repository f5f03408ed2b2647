use base::{ServiceName, TimeSpan};
use smol_str::SmolStr;
use strum::{Display, EnumString};

/// What may be repeated of a call on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum RepeatRule {
    /// The call may run more than once.
    Idempotent,
    /// The call runs at most once.
    AtMostOnce,
    /// The call runs at most once and its answer is a stream of events.
    Stream,
}

/// A service and its share of the calls of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceWeight {
    /// Name of the service.
    pub service: ServiceName,
    /// Share, relative to the other services of the route.
    pub weight: u32,
}

/// Where calls with a host and a path prefix go, and how they are treated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRule {
    /// Name, for logs.
    pub name: SmolStr,
    /// Host in lower case, without a port.
    pub host: SmolStr,
    /// Start of the path, with a slash at both ends.
    pub prefix: SmolStr,
    /// Services that take the calls.
    pub services: Vec<ServiceWeight>,
    /// What may be repeated.
    pub repeat: RepeatRule,
    /// Longest time that a caller is kept waiting.
    pub timeout: TimeSpan,
    /// Time to the whole answer, or to the first event of a stream, that callers are promised.
    pub latency_target: TimeSpan,
    /// Rank among routes; 0 goes first.
    pub priority: u8,
    /// Targets on which one call may run.
    pub max_attempts: u32,
    /// Whether calls need no key.
    pub is_public: bool,
}

impl RouteRule {
    /// Picks a service by weight; `draw` is a random number.
    ///
    /// ```
    /// # use entry::{RepeatRule, RouteRule, ServiceWeight};
    /// # let weight = |service: &str, weight| ServiceWeight { service: service.parse().unwrap(), weight };
    /// # let rule = RouteRule {
    /// #     name: "r".into(), host: "h".into(), prefix: "/".into(),
    /// #     services: vec![weight("a", 9), weight("b", 1)], repeat: RepeatRule::Stream,
    /// #     timeout: base::TimeSpan::from_secs(1), latency_target: base::TimeSpan::from_secs(1),
    /// #     priority: 0, max_attempts: 1, is_public: false,
    /// # };
    /// assert_eq!(rule.pick_service(8).unwrap().as_str(), "a");
    /// assert_eq!(rule.pick_service(9).unwrap().as_str(), "b");
    /// ```
    pub fn pick_service(&self, draw: u64) -> Option<&ServiceName> {
        let total: u64 = self
            .services
            .iter()
            .map(|part| u64::from(part.weight))
            .sum();
        let mut left = draw.checked_rem(total)?;
        for part in &self.services {
            let weight = u64::from(part.weight);
            if left < weight {
                return Some(&part.service);
            }
            left -= weight;
        }
        None
    }
}
