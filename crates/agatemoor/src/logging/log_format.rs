use std::io::stderr;
use std::time::{SystemTime, UNIX_EPOCH};

use base::EventKind;
use fern::Dispatch;
use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Record};
use serde_json::Map;
use strum::{Display, EnumString};

/// Output format of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum LogFormat {
    /// One line of text for each record, for terminals.
    #[default]
    Text,
    /// One JSON object for each line.
    Json,
}

/// Sends the log to standard error; has no effect if a logger is already set.
pub fn start_logging(format: LogFormat, level: LevelFilter) {
    // Fails only if a logger is already set, which then stays in use.
    drop(make_dispatch(format, level).chain(stderr()).apply());
}

/// Builds the formatter and level filter for records.
///
/// `level` applies to the log targets of this project; other crates log from `warn` on.
pub(super) fn make_dispatch(format: LogFormat, level: LevelFilter) -> Dispatch {
    let own_targets = [
        "event",
        "agatemoor",
        "web",
        "node",
        "load",
        "gateway",
        "platform",
    ];
    let dispatch = Dispatch::new().level(LevelFilter::Warn);
    let dispatch = own_targets
        .into_iter()
        .fold(dispatch, |dispatch, name| dispatch.level_for(name, level));
    dispatch.format(move |out, message, record| match format {
        LogFormat::Text => out.finish(format_args!("{}", text_line(record, message))),
        LogFormat::Json => out.finish(format_args!("{}", json_line(record, message))),
    })
}

/// Collects the key-value pairs of a log record, such as its event number.
#[derive(Default)]
struct FieldMap {
    fields: Map<String, serde_json::Value>,
}

impl<'kvs> VisitSource<'kvs> for FieldMap {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let value = match value.to_u64() {
            Some(number) => number.into(),
            None => value.to_string().into(),
        };
        self.fields.insert(key.to_string(), value);
        Ok(())
    }
}

/// Returns the fields of a record; without an event number it gets that of `ProcessMessage`.
fn read_fields(record: &Record<'_>) -> Map<String, serde_json::Value> {
    let mut map = FieldMap::default();
    // The visitor never returns an error.
    let _ = record.key_values().visit(&mut map);
    let number = EventKind::ProcessMessage.number();
    map.fields.entry("event").or_insert(number.into());
    map.fields
}

fn wall_millis() -> u128 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |span| span.as_millis())
}

fn text_line(record: &Record<'_>, message: &std::fmt::Arguments<'_>) -> String {
    let fields = read_fields(record);
    let field = |name: &str| match fields.get(name) {
        Some(serde_json::Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
        None => String::new(),
    };
    let millis = wall_millis();
    let time = format!("{}.{:03}", millis / 1_000, millis % 1_000);
    let mut line = format!("{time} {:5} {}", record.level(), field("event"));
    for name in ["kind", "node", "request"] {
        let value = field(name);
        if !value.is_empty() {
            line.push(' ');
            line.push_str(&value);
        }
    }
    let message = message.to_string();
    if !message.is_empty() {
        line.push_str(": ");
        line.push_str(&message);
    }
    line
}

fn json_line(record: &Record<'_>, message: &std::fmt::Arguments<'_>) -> String {
    let mut fields = read_fields(record);
    fields.insert("level".to_owned(), record.level().as_str().into());
    fields.insert("message".to_owned(), message.to_string().into());
    let millis = u64::try_from(wall_millis()).unwrap_or(u64::MAX);
    fields.insert("wall_ms".to_owned(), millis.into());
    serde_json::Value::Object(fields).to_string()
}
