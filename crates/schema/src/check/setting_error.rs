use smol_str::SmolStr;
use snafu::Snafu;

/// Most characters of a value that are quoted in a message; longer values are truncated.
const MAX_QUOTED_CHARS: usize = 80;

/// One error in an INI file.
///
/// ```
/// let errors = schema::read_settings("node.ini", "[nod]\n").unwrap_err();
/// let error = errors.iter().find(|error| error.key == "[nod]").unwrap();
/// let text = error.to_string();
/// assert!(text.starts_with("node.ini:1: [nod]: found an unknown section, allowed [callers], "));
/// assert!(text.ends_with("; did you mean [node]"));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Snafu)]
#[snafu(display(
    "{file}:{line}: {key}: found {found}, allowed {allowed}{}",
    suggestion(nearest.as_deref())
))]
pub struct SettingError {
    /// Name of the file, or key of the platform.
    pub file: SmolStr,
    /// Line number from 1; for a missing key, the line of the section header.
    pub line: u32,
    /// The key, or the section header if the error concerns the section itself.
    pub key: SmolStr,
    /// What was found: a description, or the value in backticks.
    pub found: SmolStr,
    /// What would have been accepted.
    pub allowed: SmolStr,
    /// The allowed name that is most similar to the one found; `None` if none is similar enough.
    pub nearest: Option<SmolStr>,
}

fn suggestion(nearest: Option<&str>) -> String {
    nearest.map_or_else(String::new, |name| format!("; did you mean {name}"))
}

/// Quotes a value for a message; truncates it if it is long.
pub(crate) fn quote_value(value: &str) -> String {
    match value.char_indices().nth(MAX_QUOTED_CHARS) {
        Some((at, _)) => format!("`{}…`", &value[..at]),
        None => format!("`{value}`"),
    }
}
