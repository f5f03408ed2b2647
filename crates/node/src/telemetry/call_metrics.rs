use base::{NodeName, TimeSpan};
use metrics::{Counter, Histogram, counter, histogram};

/// Metrics of the calls of one node; clones update the same metrics.
///
/// | metric | meaning |
/// |---|---|
/// | `calls_total{node,outcome}` | calls that ended, by outcome or error code |
/// | `call_attempts_total{node}` | attempts that may have reached a target |
/// | `call_resumes_total{node}` | generations resumed on a new connection |
/// | `call_tokens_total{node}` | tokens relayed |
/// | `call_first_token_seconds{node}` | time from arrival to the first token |
#[derive(Clone)]
pub struct CallMetrics {
    node: String,
    attempts: Counter,
    resumes: Counter,
    tokens: Counter,
    first_token: Histogram,
}

impl CallMetrics {
    /// Creates the metrics of a node.
    ///
    /// ```
    /// let metrics = node::CallMetrics::new(&"balaju-1".parse().unwrap());
    /// metrics.count_tokens(3);
    /// ```
    pub fn new(node: &NodeName) -> Self {
        let node = node.to_string();
        Self {
            attempts: counter!("call_attempts_total", "node" => node.clone()),
            resumes: counter!("call_resumes_total", "node" => node.clone()),
            tokens: counter!("call_tokens_total", "node" => node.clone()),
            first_token: histogram!("call_first_token_seconds", "node" => node.clone()),
            node,
        }
    }

    /// Counts a call that ended with this outcome or error code.
    pub fn count_outcome(&self, outcome: &'static str) {
        counter!("calls_total", "node" => self.node.clone(), "outcome" => outcome).increment(1);
    }

    /// Counts an attempt that may have reached its target.
    pub fn count_attempt(&self) {
        self.attempts.increment(1);
    }

    /// Counts a generation that was resumed on a new connection.
    pub fn count_resume(&self) {
        self.resumes.increment(1);
    }

    /// Counts tokens relayed to callers.
    pub fn count_tokens(&self, count: u64) {
        if count > 0 {
            self.tokens.increment(count);
        }
    }

    /// Records the time from arrival to the first token.
    pub fn observe_first_token(&self, waited: TimeSpan) {
        self.first_token.record(waited.as_millis() as f64 / 1_000.0);
    }
}
