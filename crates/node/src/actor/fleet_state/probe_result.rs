use base::IncarnationNumber;
use sched::LoadReport;

use crate::EngineHealth;

/// What a probe of a target found.
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
        /// Whether it is about to be taken away.
        leaving: bool,
        /// Run of the service.
        incarnation: IncarnationNumber,
    },
    /// Its host refused the connection.
    Refused,
    /// No answer in time.
    Failed,
}
