use std::fmt::{self, Write};

use base::{EventRecord, NodeName};

use super::EventTimeline;

/// HTML before the content of the page.
const PAGE_START: &str = include_str!("timeline_head.html");
/// HTML after the content, with the script of the filter box.
const PAGE_END: &str = include_str!("timeline_tail.html");

/// Self-contained HTML page of a timeline with one column for each node.
pub struct TimelinePage<'a> {
    timeline: &'a EventTimeline,
    columns: Vec<&'a NodeName>,
}

impl<'a> TimelinePage<'a> {
    /// Creates the page that shows `timeline`.
    ///
    /// ```
    /// let timeline = agatemoor::EventTimeline::default();
    /// let page = agatemoor::TimelinePage::new(&timeline).to_string();
    /// assert!(page.starts_with("<!DOCTYPE html>"));
    /// ```
    pub fn new(timeline: &'a EventTimeline) -> Self {
        let events = timeline.records.iter().map(|record| &record.node);
        let mut columns: Vec<&NodeName> = timeline.nodes.iter().chain(events).collect();
        columns.sort_unstable();
        columns.dedup();
        Self { timeline, columns }
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
        let column = self.columns.binary_search(&&record.node).unwrap_or(0);
        for index in 0..self.columns.len() {
            match index == column {
                true => write_event(f, record)?,
                false => f.write_str("<td></td>")?,
            }
        }
        f.write_str("</tr>\n")
    }
}

impl fmt::Display for TimelinePage<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(PAGE_START)?;
        for gap in &self.timeline.gaps {
            writeln!(f, "<p class=\"gap\">{}</p>", EscapedText(gap))?;
        }
        let start = self.timeline.records.first().map(|record| record.time);
        let start = start.unwrap_or_default();
        let count = self.timeline.records.len();
        writeln!(f, "<p>{count} events from hybrid time {start} on</p>")?;
        f.write_str("<table><thead><tr><th>time</th>")?;
        for column in &self.columns {
            write!(f, "<th>{}</th>", EscapedText(column.as_str()))?;
        }
        f.write_str("</tr></thead><tbody id=\"events\">\n")?;
        for record in &self.timeline.records {
            self.write_row(f, record)?;
        }
        f.write_str(PAGE_END)
    }
}

fn write_event(f: &mut fmt::Formatter<'_>, record: &EventRecord) -> fmt::Result {
    let kind = record.kind;
    let (scope, number, meaning) = (kind.scope(), kind.number(), kind.meaning());
    write!(
        f,
        "<td class=\"{scope}\" title=\"{}\"><b>{number} {kind}</b>",
        EscapedText(meaning)
    )?;
    if let Some(request) = &record.request {
        write!(f, " <i>{}</i>", EscapedText(request.as_str()))?;
    }
    write!(f, " {}</td>", EscapedText(&record.detail))
}

/// Text that is escaped for HTML content and quoted attributes when it is displayed.
struct EscapedText<'a>(&'a str);

impl fmt::Display for EscapedText<'_> {
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
