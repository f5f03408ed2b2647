use smol_str::SmolStr;
use snafu::Snafu;

/// A text that is not a valid value of its type.
///
/// ```
/// let error = base::ParseError::new("time span", "soon", "such as 3s");
/// assert_eq!(error.to_string(), "`soon` is not a valid time span: expected such as 3s");
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("`{found}` is not a valid {what}: expected {allowed}"))]
pub struct ParseError {
    /// What was being parsed.
    pub what: &'static str,
    /// The text found.
    pub found: SmolStr,
    /// What would have been accepted.
    pub allowed: SmolStr,
}

impl ParseError {
    /// Creates an error for the text `found` in place of a `what`.
    pub fn new(what: &'static str, found: &str, allowed: &str) -> Self {
        Self {
            what,
            found: SmolStr::new(found),
            allowed: SmolStr::new(allowed),
        }
    }
}
