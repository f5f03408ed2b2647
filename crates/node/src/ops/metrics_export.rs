use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static EXPORT: OnceLock<MetricsExport> = OnceLock::new();

/// Metrics of the process as Prometheus text.
#[derive(Clone)]
pub struct MetricsExport {
    handle: PrometheusHandle,
}

impl MetricsExport {
    /// Returns the export of this process and installs its recorder at the first call.
    ///
    /// ```
    /// let export = node::MetricsExport::shared();
    /// assert!(export.render().is_ascii());
    /// ```
    pub fn shared() -> &'static Self {
        EXPORT.get_or_init(|| {
            let recorder = PrometheusBuilder::new().build_recorder();
            let handle = recorder.handle();
            // Another recorder of the process, as in a test, leaves this export empty.
            let _ = metrics::set_global_recorder(recorder);
            Self { handle }
        })
    }

    /// Sums up what was recorded; histograms hold every value until then.
    pub fn keep_up(&self) {
        self.handle.run_upkeep();
    }

    /// Returns all metrics as text.
    pub fn render(&self) -> String {
        self.keep_up();
        self.handle.render()
    }
}
