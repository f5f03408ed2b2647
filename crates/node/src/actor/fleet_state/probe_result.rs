use base::IncarnationNumber;
use sched::LoadReport;

use crate::EngineHealth;

/// Result of a probe of a target.
#[derive(Clone, Debug)]
pub enum ProbeResult {
    /// An engine answered.
    Engine {
        /// Health of the engine.
        health: EngineHealth,
        /// Load of the engine.
        report: LoadReport,
    },
    /// An instance of a plain service answered.
    Service {
        /// Whether it announces that it is about to stop.
        leaving: bool,
        /// Incarnation of the instance.
        incarnation: IncarnationNumber,
    },
    /// The host of the target refused the connection.
    Refused,
    /// No usable response in time.
    Failed,
}
