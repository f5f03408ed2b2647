use std::fs;
use std::io::{Write, stdout};
use std::time::{SystemTime, UNIX_EPOCH};

use argh::FromArgs;
use base::{EventKind, RequestId};

use super::exit_code::{EXIT_FAILURE, EXIT_SUCCESS};
use crate::operator::{NodeAddresses, OperatorClient};
use crate::timeline::{EventFilter, EventPage, EventTimeline, SinceTime, TimelinePage};

/// Show the events of several nodes in causal order.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "timeline",
    example = "What the nodes did in the last minute:\n  $ agatemoor timeline --node 127.0.0.1:8081,127.0.0.1:8181 --since 1m\nOne request through all nodes, as a page to read in a browser:\n  $ agatemoor timeline --node 127.0.0.1:8081,127.0.0.1:8181 --request balaju-1.17 --html timeline.html",
    note = "Exit codes: 0 done, 1 a node does not respond or the page cannot be written, 2 invalid arguments."
)]
pub struct TimelineCommand {
    /// operator addresses of nodes, separated by commas
    #[argh(option)]
    node: NodeAddresses,

    /// only events after a time (milliseconds since 1970, or MILLIS.COUNTER) or within a recent
    /// period (30s, 5m)
    #[argh(option)]
    since: Option<SinceTime>,

    /// only events of this request
    #[argh(option)]
    request: Option<RequestId>,

    /// only events of this kind, such as target_down; may be repeated
    #[argh(option)]
    kind: Vec<EventKind>,

    /// write a self-contained HTML page to this file instead of lines
    #[argh(option)]
    html: Option<String>,
}

impl TimelineCommand {
    /// Reads the events of all nodes, merges them and prints them or writes the HTML page.
    pub async fn run(self) -> u8 {
        let since = self.since.map(|since| since.resolve(wall_millis()));
        let filter = EventFilter {
            since: since.unwrap_or_default(),
            request: self.request,
            kinds: self.kind,
        };
        let path = format!("/ops/events?since={}", filter.since);
        let client = OperatorClient::new();
        let responses = client.read_all::<EventPage>(&self.node, &path).await;
        let timeline = EventTimeline::new(responses, &filter);
        for gap in &timeline.gaps {
            eprintln!("{gap}");
        }
        let written = match &self.html {
            Some(file) => fs::write(file, TimelinePage::new(&timeline).to_string()),
            None => stdout().write_all(timeline.to_string().as_bytes()),
        };
        if let Err(error) = written {
            let destination = self.html.as_deref().unwrap_or("standard output");
            eprintln!("{destination}: {error}");
            return EXIT_FAILURE;
        }
        match timeline.complete {
            true => EXIT_SUCCESS,
            false => EXIT_FAILURE,
        }
    }
}

fn wall_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |span| {
        u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
    })
}
