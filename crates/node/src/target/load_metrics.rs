use base::{ClockTime, TargetName};
use sched::LoadReport;

/// Parses the load of an engine from the Prometheus text of its metrics; missing metrics are zero.
///
/// ```
/// let text = "# TYPE engine_requests_running gauge\nengine_requests_running 3\n";
/// let now = base::ClockTime::ZERO;
/// let report = node::parse_load_metrics("e1".parse().unwrap(), now, text);
/// assert_eq!(report.running, 3);
/// ```
pub fn parse_load_metrics(target: TargetName, measured_at: ClockTime, text: &str) -> LoadReport {
    let mut report = LoadReport {
        target,
        measured_at,
        running: 0,
        waiting: 0,
        used_pages: 0,
        cached_pages: 0,
        total_pages: 0,
        page_tokens: 0,
        preemptions: 0,
    };
    for line in text.lines().filter(|line| !line.starts_with('#')) {
        let Some((name, value)) = line.rsplit_once(' ') else {
            continue;
        };
        let name = name.split('{').next().unwrap_or(name).trim();
        let value: f64 = value.parse().unwrap_or(0.0);
        // The values are never negative; a cast from float to integer saturates.
        let count = value as u32;
        match name {
            "engine_requests_running" => report.running = count,
            "engine_requests_waiting" => report.waiting = count,
            "engine_pages_used" => report.used_pages = count,
            "engine_pages_cached" => report.cached_pages = count,
            "engine_pages_total" => report.total_pages = count,
            "engine_page_tokens" => report.page_tokens = count,
            "engine_preemptions_total" => report.preemptions = value as u64,
            _ => {}
        }
    }
    report
}
