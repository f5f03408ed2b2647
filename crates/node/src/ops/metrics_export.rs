use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static EXPORT: OnceLock<MetricsExport> = OnceLock::new();

/// Exports the metrics of the process as Prometheus text.
#[derive(Clone)]
pub struct MetricsExport {
    handle: PrometheusHandle,
}

impl MetricsExport {
    /// Returns the export of this process; the first call installs its metrics recorder.
    ///
    /// ```
    /// let export = node::MetricsExport::shared();
    /// assert!(export.render().is_ascii());
    /// ```
    pub fn shared() -> &'static Self {
        EXPORT.get_or_init(|| {
            let recorder = PrometheusBuilder::new().build_recorder();
            let handle = recorder.handle();
            // If the process has another recorder, as in a test, this export stays empty.
            let _ = metrics::set_global_recorder(recorder);
            Self { handle }
        })
    }

    /// Folds recorded values into the histograms, which otherwise keep every single value in memory.
    pub fn run_upkeep(&self) {
        self.handle.run_upkeep();
    }

    /// Returns all metrics as Prometheus text.
    pub fn render(&self) -> String {
        self.run_upkeep();
        self.handle.render()
    }
}
