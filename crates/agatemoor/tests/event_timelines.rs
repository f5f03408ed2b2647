//! Merging the events of several nodes into one timeline and rendering it.

use agatemoor::{EventFilter, EventPage, EventTimeline, NodeResponse, TimelinePage};
use base::{EventKind, EventRecord, HybridTime};
use serde_json::{Value, json};

fn record(node: &str, wall: u64, counter: u32, kind: EventKind, detail: &str) -> Value {
    let time = HybridTime { wall, counter };
    let domain = "patan".parse().unwrap();
    let record = EventRecord::new(kind, time, node.parse().unwrap(), domain);
    serde_json::to_value(record.with_detail(detail)).unwrap()
}

fn answer(node: &str, dropped: u64, events: Vec<Value>) -> NodeResponse<EventPage> {
    NodeResponse {
        address: "127.0.0.1:1".parse().unwrap(),
        result: Ok(EventPage {
            node: node.parse().unwrap(),
            dropped,
            events,
        }),
    }
}

fn details(timeline: &EventTimeline) -> Vec<&str> {
    let records = timeline.records.iter();
    records.map(|record| record.detail.as_str()).collect()
}

/// Guards against a timeline that lists an effect before its cause.
#[test]
fn events_are_in_causal_order() {
    let kind = EventKind::PeerAlive;
    let first = answer(
        "n2",
        0,
        vec![
            record("n2", 100, 0, kind, "b"),
            record("n2", 100, 2, kind, "d"),
        ],
    );
    let second = answer(
        "n1",
        0,
        vec![
            record("n1", 100, 0, kind, "a"),
            record("n1", 100, 1, kind, "c"),
        ],
    );
    let timeline = EventTimeline::new(vec![first, second], &EventFilter::default());
    assert_eq!(details(&timeline), ["a", "b", "c", "d"]);
    assert!(timeline.complete);
}

/// Guards against filters that let events pass which do not match.
#[test]
fn filters_select_events() {
    let mut request_event = record("n1", 30, 0, EventKind::RequestFinished, "request");
    request_event["request"] = json!("n1-7");
    let events = vec![
        record("n1", 10, 0, EventKind::TargetDown, "early"),
        record("n1", 20, 0, EventKind::TargetDown, "down"),
        request_event,
    ];
    let select = |filter: EventFilter| {
        let timeline = EventTimeline::new(vec![answer("n1", 0, events.clone())], &filter);
        details(&timeline)
            .into_iter()
            .map(str::to_owned)
            .collect::<Vec<_>>()
    };
    let since = HybridTime {
        wall: 10,
        counter: 0,
    };
    let late = EventFilter {
        since,
        ..EventFilter::default()
    };
    assert_eq!(select(late), ["down", "request"]);
    let kinds = EventFilter {
        kinds: vec![EventKind::TargetDown],
        ..EventFilter::default()
    };
    assert_eq!(select(kinds), ["early", "down"]);
    let request = EventFilter {
        request: Some("n1-7".parse().unwrap()),
        ..EventFilter::default()
    };
    assert_eq!(select(request), ["request"]);
}

/// Guards against a timeline that looks complete although a node or its oldest events are missing.
#[test]
fn gaps_are_reported() {
    let unknown = json!({ "kind": "not_yet_known" });
    let silent = NodeResponse {
        address: "127.0.0.1:2".parse().unwrap(),
        result: Err("refused".to_owned()),
    };
    let answers = vec![answer("n1", 5, vec![unknown]), silent];
    let timeline = EventTimeline::new(answers, &EventFilter::default());
    assert!(!timeline.complete);
    assert_eq!(timeline.gaps.len(), 3);
    let page = TimelinePage::new(&timeline).to_string();
    for part in ["oldest 5 events", "1 events that", "127.0.0.1:2"] {
        assert!(timeline.gaps.iter().any(|gap| gap.contains(part)), "{part}");
        assert!(page.contains(part), "{part}");
    }
}

/// Guards against text from callers that becomes markup, and against a page that loads other files.
#[test]
fn page_is_escaped_and_self_contained() {
    let hostile = "<script>alert('x')</script>\"&\u{1b}[2J";
    let events = vec![record("n1", 10, 0, EventKind::RequestRefused, hostile)];
    let timeline = EventTimeline::new(vec![answer("n1", 0, events)], &EventFilter::default());
    let page = TimelinePage::new(&timeline).to_string();
    assert!(!page.contains("<script>alert"));
    assert!(page.contains("&lt;script&gt;alert(&#39;x&#39;)&lt;/script&gt;&quot;&amp;"));
    assert!(!page.contains('\u{1b}') && !timeline.to_string().contains('\u{1b}'));
    for outside in ["http://", "https://", " src=", "@import", "url("] {
        assert!(!page.contains(outside), "{outside}");
    }
}
