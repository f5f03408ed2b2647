/// Largest part of a line that is kept, in bytes; the rest is dropped.
const LINE_LIMIT: usize = 1 << 20;

/// One event of a stream of server-sent events.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SseEvent {
    /// Value of `id`, if the event has one.
    pub id: Option<String>,
    /// Values of `data`, joined by line feeds.
    pub data: String,
}

/// Incremental parser of server-sent events; input chunks may end anywhere.
///
/// ```
/// let mut parser = load::SseParser::default();
/// assert!(parser.push(b"id: g1:0\ndata: {\"a\"").is_empty());
/// let events = parser.push(b":1}\n\ndata: [DONE]\r\n\r\n");
/// assert_eq!(events[0].id.as_deref(), Some("g1:0"));
/// assert_eq!(events[1].data, "[DONE]");
/// ```
#[derive(Clone, Debug, Default)]
pub struct SseParser {
    line: Vec<u8>,
    event: SseEvent,
    has_data: bool,
}

impl SseParser {
    /// Parses the next bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<SseEvent> {
        let mut events = Vec::new();
        for &byte in bytes {
            if byte != b'\n' {
                if self.line.len() < LINE_LIMIT {
                    self.line.push(byte);
                }
                continue;
            }
            let line = std::mem::take(&mut self.line);
            let line = String::from_utf8_lossy(&line);
            events.extend(self.parse_line(line.trim_end_matches('\r')));
        }
        events
    }

    fn parse_line(&mut self, line: &str) -> Option<SseEvent> {
        if line.is_empty() {
            let event = std::mem::take(&mut self.event);
            let has_data = std::mem::take(&mut self.has_data);
            return has_data.then_some(event);
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => self.event.id = Some(value.to_string()),
            "data" => {
                if self.has_data {
                    self.event.data.push('\n');
                }
                self.has_data = true;
                self.event.data.push_str(value);
            }
            // Comments, which have an empty field name, and other fields carry no token.
            _ => {}
        }
        None
    }
}
