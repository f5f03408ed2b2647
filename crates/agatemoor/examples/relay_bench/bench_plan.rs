use crate::AnyError;

/// Parameters of a benchmark run.
#[derive(Clone, Debug)]
pub struct BenchPlan {
    /// Number of rounds; each sends load to every proxy once.
    pub rounds: usize,
    /// Requests per second of the token load.
    pub rate: u32,
    /// Seconds in which the requests of the token load arrive.
    pub seconds: u32,
    /// Tokens of each response of the token load.
    pub tokens: u32,
    /// Milliseconds between two tokens of a stream.
    pub gap: u32,
    /// Number of requests of one token, for the CPU time per request.
    pub requests: u32,
    /// Concurrent streams of the memory measurement.
    pub streams: u32,
    /// Threads of each proxy.
    pub threads: usize,
    /// Whether the pass-through opens a new engine connection for each request.
    pub fresh: bool,
    /// Parts to run, separated by commas: `load`, `requests` and `memory`.
    pub parts: String,
}

impl Default for BenchPlan {
    fn default() -> Self {
        Self {
            rounds: 5,
            rate: 32,
            seconds: 10,
            tokens: 328,
            gap: 10,
            requests: 2_000,
            streams: 5_000,
            threads: 2,
            fresh: false,
            parts: "load,requests,memory".to_owned(),
        }
    }
}

impl BenchPlan {
    /// Parses `KEY=VALUE` arguments and checks their bounds.
    pub fn parse(words: &[&str]) -> Result<Self, AnyError> {
        let mut plan = Self::default();
        for word in words {
            let (key, value) = word.split_once('=').ok_or("expected KEY=VALUE")?;
            match key {
                "rounds" => plan.rounds = value.parse()?,
                "rate" => plan.rate = value.parse()?,
                "seconds" => plan.seconds = value.parse()?,
                "tokens" => plan.tokens = value.parse()?,
                "gap" => plan.gap = value.parse()?,
                "requests" => plan.requests = value.parse()?,
                "streams" => plan.streams = value.parse()?,
                "threads" => plan.threads = value.parse()?,
                "fresh" => plan.fresh = value.parse()?,
                "parts" => plan.parts = value.to_owned(),
                _ => return Err(format!("unknown key {key}").into()),
            }
        }
        let bounds = [
            ("rounds", plan.rounds as u64, 1, 20),
            ("rate", plan.rate.into(), 1, 200),
            ("seconds", plan.seconds.into(), 2, 60),
            ("tokens", plan.tokens.into(), 1, 2_000),
            ("gap", plan.gap.into(), 1, 1_000),
            ("requests", plan.requests.into(), 1, 20_000),
            ("streams", plan.streams.into(), 0, 7_000),
            ("threads", plan.threads as u64, 1, 8),
        ];
        for (key, value, min, max) in bounds {
            if !(min..=max).contains(&value) {
                return Err(format!("{key} must be {min} to {max}").into());
            }
        }
        Ok(plan)
    }

    /// Returns whether a part is to be run.
    pub fn has(&self, part: &str) -> bool {
        self.parts.split(',').any(|name| name == part)
    }
}
