use smol_str::SmolStr;
use snafu::Snafu;

/// Longer values are cut in messages.
const SHOWN_CHARS: usize = 80;

/// One mistake in an INI file.
///
/// ```
/// let mistakes = schema::read_settings("node.ini", "[nod]\n").unwrap_err();
/// let mistake = mistakes.iter().find(|mistake| mistake.key == "[nod]").unwrap();
/// let text = mistake.to_string();
/// assert!(text.starts_with("node.ini:1: [nod]: found an unknown section, allowed [callers], "));
/// assert!(text.ends_with("; did you mean [node]"));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Snafu)]
#[snafu(display(
    "{file}:{line}: {key}: found {found}, allowed {allowed}{}",
    suggestion(nearest.as_deref())
))]
pub struct SettingMistake {
    /// File or platform key.
    pub file: SmolStr,
    /// Line from 1; that of the section header for a missing key.
    pub line: u32,
    /// The key, or the section header if the section itself is meant.
    pub key: SmolStr,
    /// What was found, in words or in backticks.
    pub found: SmolStr,
    /// What would have been accepted.
    pub allowed: SmolStr,
    /// The known name that is most similar to what was found.
    pub nearest: Option<SmolStr>,
}

fn suggestion(nearest: Option<&str>) -> String {
    nearest.map_or_else(String::new, |name| format!("; did you mean {name}"))
}

/// Quotes a value for a message, cut if it is long.
pub(crate) fn quote_value(value: &str) -> String {
    match value.char_indices().nth(SHOWN_CHARS) {
        Some((at, _)) => format!("`{}…`", &value[..at]),
        None => format!("`{value}`"),
    }
}
