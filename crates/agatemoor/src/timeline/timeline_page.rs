use std::fmt::{self, Write};

use base::{EventRecord, NodeName};

use super::EventTimeline;

const HEAD: &str = include_str!("timeline_head.html");
const TAIL: &str = include_str!("timeline_tail.html");

/// One HTML page that shows a timeline with a lane for each process and needs no other file.
pub struct TimelinePage<'a> {
    timeline: &'a EventTimeline,
    lanes: Vec<&'a NodeName>,
}

impl<'a> TimelinePage<'a> {
    /// Creates the page of a timeline.
    ///
    /// ```
    /// let timeline = agatemoor::EventTimeline::default();
    /// let page = agatemoor::TimelinePage::new(&timeline).to_string();
    /// assert!(page.starts_with("<!DOCTYPE html>"));
    /// ```
    pub fn new(timeline: &'a EventTimeline) -> Self {
        let events = timeline.records.iter().map(|record| &record.node);
        let mut lanes: Vec<&NodeName> = timeline.nodes.iter().chain(events).collect();
        lanes.sort_unstable();
        lanes.dedup();
        Self { timeline, lanes }
    }

    fn write_row(&self, f: &mut fmt::Formatter<'_>, record: &EventRecord) -> fmt::Result {
        let start = self.timeline.records.first();
        let start = start.map_or(0, |first| first.time.wall);
        let offset = record.time.wall.saturating_sub(start);
        let (seconds, millis) = (offset / 1_000, offset % 1_000);
        let time = record.time;
        write!(
            f,
            "<tr><td class=\"time\" title=\"{time}\">+{seconds}.{millis:03}s</td>"
        )?;
        let lane = self.lanes.binary_search(&&record.node).unwrap_or(0);
        for at in 0..self.lanes.len() {
            match at == lane {
                true => write_event(f, record)?,
                false => f.write_str("<td></td>")?,
            }
        }
        f.write_str("</tr>\n")
    }
}

impl fmt::Display for TimelinePage<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(HEAD)?;
        for gap in &self.timeline.gaps {
            writeln!(f, "<p class=\"gap\">{}</p>", Escaped(gap))?;
        }
        let start = self.timeline.records.first().map(|record| record.time);
        let start = start.unwrap_or_default();
        let count = self.timeline.records.len();
        writeln!(f, "<p>{count} events from hybrid time {start} on</p>")?;
        f.write_str("<table><thead><tr><th>time</th>")?;
        for lane in &self.lanes {
            write!(f, "<th>{}</th>", Escaped(lane.as_str()))?;
        }
        f.write_str("</tr></thead><tbody id=\"events\">\n")?;
        for record in &self.timeline.records {
            self.write_row(f, record)?;
        }
        f.write_str(TAIL)
    }
}

fn write_event(f: &mut fmt::Formatter<'_>, record: &EventRecord) -> fmt::Result {
    let kind = record.kind;
    let (scope, number, meaning) = (kind.scope(), kind.number(), kind.meaning());
    write!(
        f,
        "<td class=\"{scope}\" title=\"{}\"><b>{number} {kind}</b>",
        Escaped(meaning)
    )?;
    if let Some(request) = &record.request {
        write!(f, " <i>{}</i>", Escaped(request.as_str()))?;
    }
    write!(f, " {}</td>", Escaped(&record.detail))
}

/// Text that stands for itself in HTML, also within quotes.
struct Escaped<'a>(&'a str);

impl fmt::Display for Escaped<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for c in self.0.chars() {
            match c {
                '&' => f.write_str("&amp;")?,
                '<' => f.write_str("&lt;")?,
                '>' => f.write_str("&gt;")?,
                '"' => f.write_str("&quot;")?,
                '\'' => f.write_str("&#39;")?,
                c if c.is_control() => f.write_char('\u{fffd}')?,
                c => f.write_char(c)?,
            }
        }
        Ok(())
    }
}
