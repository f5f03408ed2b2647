use smol_str::SmolStr;
use snafu::Snafu;

/// Error of a text that is not a valid value of the type to be parsed.
///
/// ```
/// let error = base::ParseError::new("time span", "soon", "such as 3s");
/// assert_eq!(error.to_string(), "`soon` is not a valid time span: expected such as 3s");
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("`{found}` is not a valid {what}: expected {allowed}"))]
pub struct ParseError {
    /// Name of the type to be parsed.
    pub what: &'static str,
    /// Text that was found.
    pub found: SmolStr,
    /// Description of the accepted texts.
    pub allowed: SmolStr,
}

impl ParseError {
    /// Creates the error of a text `found` that is no valid `what`.
    pub fn new(what: &'static str, found: &str, allowed: &str) -> Self {
        Self {
            what,
            found: SmolStr::new(found),
            allowed: SmolStr::new(allowed),
        }
    }
}
