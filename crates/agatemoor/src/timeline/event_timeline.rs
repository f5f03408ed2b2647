use std::fmt;

use base::{EventKind, EventRecord, HybridTime, NodeName, RequestId};

use super::EventPage;
use crate::operator::{NodeResponse, replace_control_characters};

/// Selects the events of a timeline.
#[derive(Clone, Debug, Default)]
pub struct EventFilter {
    /// Only events after this time.
    pub since: HybridTime,
    /// Only events of this request.
    pub request: Option<RequestId>,
    /// Only events of these kinds; all if empty.
    pub kinds: Vec<EventKind>,
}

impl EventFilter {
    fn matches(&self, record: &EventRecord) -> bool {
        let request = self.request.is_none() || record.request == self.request;
        let kind = self.kinds.is_empty() || self.kinds.contains(&record.kind);
        record.time > self.since && request && kind
    }
}

/// Events of several nodes in causal order: sorted by hybrid logical time, then node name.
#[derive(Clone, Debug, Default)]
pub struct EventTimeline {
    /// Sorted events.
    pub records: Vec<EventRecord>,
    /// Nodes that responded, sorted.
    pub nodes: Vec<NodeName>,
    /// Messages about events that the timeline lacks.
    pub gaps: Vec<String>,
    /// Whether every node responded.
    pub complete: bool,
}

impl EventTimeline {
    /// Merges the responses of all queried nodes.
    pub fn new(responses: Vec<NodeResponse<EventPage>>, filter: &EventFilter) -> Self {
        let mut timeline = Self {
            complete: true,
            ..Self::default()
        };
        for response in responses {
            match response.result {
                Ok(page) => timeline.add_page(page, filter),
                Err(reason) => {
                    timeline.complete = false;
                    let address = response.address;
                    let gap = format!("node at {address} does not answer: {reason}");
                    timeline.gaps.push(gap);
                }
            }
        }
        let order = |record: &EventRecord| (record.time, record.node.clone());
        timeline.records.sort_by_key(order);
        timeline.nodes.sort_unstable();
        timeline.nodes.dedup();
        timeline
    }

    fn add_page(&mut self, page: EventPage, filter: &EventFilter) {
        let node = &page.node;
        if page.dropped > 0 {
            let count = page.dropped;
            let gap = format!("node {node} has discarded its oldest {count} events");
            self.gaps.push(gap);
        }
        let mut unknown = 0;
        for event in page.events {
            match serde_json::from_value::<EventRecord>(event) {
                Ok(record) if filter.matches(&record) => self.records.push(record),
                Ok(_) => {}
                Err(_) => unknown += 1,
            }
        }
        if unknown > 0 {
            let gap = format!("node {node} has {unknown} events that this program cannot decode");
            self.gaps.push(gap);
        }
        self.nodes.push(page.node);
    }
}

impl fmt::Display for EventTimeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for record in &self.records {
            writeln!(f, "{}", replace_control_characters(&record.to_string()))?;
        }
        Ok(())
    }
}
