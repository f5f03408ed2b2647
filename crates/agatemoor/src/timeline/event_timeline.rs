use std::fmt;

use base::{EventKind, EventRecord, HybridTime, NodeName, RequestId};

use super::EventPage;
use crate::operator::{NodeAnswer, plain_text};

/// Which events a timeline shows.
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
    fn admits(&self, record: &EventRecord) -> bool {
        let request = self.request.is_none() || record.request == self.request;
        let kind = self.kinds.is_empty() || self.kinds.contains(&record.kind);
        record.time > self.since && request && kind
    }
}

/// Events of several processes in causal order: by hybrid logical time, then node name.
#[derive(Clone, Debug, Default)]
pub struct EventTimeline {
    /// Events in order.
    pub records: Vec<EventRecord>,
    /// Nodes that answered, sorted.
    pub nodes: Vec<NodeName>,
    /// What the timeline lacks, in words.
    pub gaps: Vec<String>,
    /// Whether every node answered.
    pub complete: bool,
}

impl EventTimeline {
    /// Merges the answers of all nodes asked.
    pub fn new(answers: Vec<NodeAnswer<EventPage>>, filter: &EventFilter) -> Self {
        let mut timeline = Self {
            complete: true,
            ..Self::default()
        };
        for answer in answers {
            match answer.result {
                Ok(page) => timeline.add_page(page, filter),
                Err(reason) => {
                    timeline.complete = false;
                    let address = answer.address;
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
            let gap = format!("node {node} no longer has its oldest {count} events");
            self.gaps.push(gap);
        }
        let mut unknown = 0;
        for event in page.events {
            match serde_json::from_value::<EventRecord>(event) {
                Ok(record) if filter.admits(&record) => self.records.push(record),
                Ok(_) => {}
                Err(_) => unknown += 1,
            }
        }
        if unknown > 0 {
            let gap = format!("node {node} has {unknown} events that this program can't read");
            self.gaps.push(gap);
        }
        self.nodes.push(page.node);
    }
}

impl fmt::Display for EventTimeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for record in &self.records {
            writeln!(f, "{}", plain_text(&record.to_string()))?;
        }
        Ok(())
    }
}
