/// Fields of one server-sent event.
///
/// Only the first `data` line is kept, since engines send one data line per event.
///
/// ```
/// let frame = web::EventFrame::parse(b"id: g1:7\ndata: {}\n\n");
/// assert_eq!(frame.id, Some(&b"g1:7"[..]));
/// assert_eq!(frame.data, Some(&b"{}"[..]));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventFrame<'a> {
    /// Value of `id`.
    pub id: Option<&'a [u8]>,
    /// Value of `event`.
    pub name: Option<&'a [u8]>,
    /// Value of the first `data` line.
    pub data: Option<&'a [u8]>,
}

impl<'a> EventFrame<'a> {
    /// Parses the fields of one event block; comments and unknown fields are ignored.
    pub fn parse(block: &'a [u8]) -> Self {
        let mut frame = Self::default();
        let mut rest = block;
        while !rest.is_empty() {
            let end = memchr::memchr(b'\n', rest).unwrap_or(rest.len());
            let line = rest[..end].strip_suffix(b"\r").unwrap_or(&rest[..end]);
            rest = rest.get(end + 1..).unwrap_or_default();
            frame.parse_line(line);
        }
        frame
    }

    fn parse_line(&mut self, line: &'a [u8]) {
        let Some(colon) = memchr::memchr(b':', line) else {
            return;
        };
        let value = &line[colon + 1..];
        let value = value.strip_prefix(b" ").unwrap_or(value);
        match &line[..colon] {
            b"data" if self.data.is_none() => self.data = Some(value),
            b"id" => self.id = Some(value),
            b"event" => self.name = Some(value),
            _ => {}
        }
    }
}
