use base::{ServiceName, TimeSpan};
use smol_str::SmolStr;
use strum::{Display, EnumString};

/// Whether a call on a route may run more than once, and whether its answer is a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum RepeatPolicy {
    /// The call may run more than once.
    Idempotent,
    /// The call runs at most once.
    AtMostOnce,
    /// The call runs at most once, and its answer is a stream of events.
    Stream,
}

/// A service with its share of the calls of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceWeight {
    /// Name of the service.
    pub service: ServiceName,
    /// Share relative to the weights of the other services of the route.
    pub weight: u32,
}

/// Route: the services that take the calls with a host and a path prefix, and how the calls are
/// handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRule {
    /// Name of the route, for logs.
    pub name: SmolStr,
    /// Host in lower case, without a port.
    pub host: SmolStr,
    /// Path prefix, which starts and ends with a slash.
    pub prefix: SmolStr,
    /// Services that take the calls.
    pub services: Vec<ServiceWeight>,
    /// Whether a call may run more than once.
    pub repeat: RepeatPolicy,
    /// Longest time that a caller waits for an answer.
    pub timeout: TimeSpan,
    /// Time to the complete answer, or to the first event of a stream, that is promised to callers.
    pub latency_target: TimeSpan,
    /// Longest pause between two events of a stream that counts as on time, if the route sets one.
    pub pause_limit: Option<TimeSpan>,
    /// Priority of the calls; 0 is the highest.
    pub priority: u8,
    /// Largest number of targets to which one call is sent.
    pub max_attempts: u32,
    /// Whether calls are accepted without a key.
    pub is_public: bool,
}

impl RouteRule {
    /// Whether a service takes calls of the route.
    pub fn has_service(&self, service: &ServiceName) -> bool {
        let mut shares = self.services.iter();
        shares.any(|share| share.service == *service && share.weight > 0)
    }

    /// Picks a service by weight; `draw` is a random number.
    ///
    /// ```
    /// # use entry::{RepeatPolicy, RouteRule, ServiceWeight};
    /// # let weight = |service: &str, weight| ServiceWeight { service: service.parse().unwrap(), weight };
    /// # let rule = RouteRule {
    /// #     name: "r".into(), host: "h".into(), prefix: "/".into(),
    /// #     services: vec![weight("a", 9), weight("b", 1)], repeat: RepeatPolicy::Stream,
    /// #     timeout: base::TimeSpan::from_secs(1), latency_target: base::TimeSpan::from_secs(1),
    /// #     pause_limit: None, priority: 0, max_attempts: 1, is_public: false,
    /// # };
    /// assert_eq!(rule.pick_service(8).unwrap().as_str(), "a");
    /// assert_eq!(rule.pick_service(9).unwrap().as_str(), "b");
    /// ```
    pub fn pick_service(&self, draw: u64) -> Option<&ServiceName> {
        let total: u64 = self
            .services
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let mut rest = draw.checked_rem(total)?;
        for share in &self.services {
            let weight = u64::from(share.weight);
            if rest < weight {
                return Some(&share.service);
            }
            rest -= weight;
        }
        None
    }
}
