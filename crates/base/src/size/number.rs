use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ParseError;

/// Defines a newtype for a number that is written with its unit.
macro_rules! unit_number {
    ($(#[$doc:meta])* $name:ident($inner:ty), $what:literal, $unit:literal, $example:literal) => {
        $(#[$doc])*
        ///
        /// Parsing takes the number with or without its unit and fails on anything else.
        ///
        /// ```
        #[doc = concat!("let number: base::", stringify!($name), " = \"", $example, "\".parse().unwrap();")]
        #[doc = concat!("assert_eq!(number.to_string(), \"", $example, "\");")]
        /// ```
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{}", $unit), self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                let digits = text.strip_suffix($unit).unwrap_or(text).trim_end();
                let number = digits.parse().ok();
                number.map(Self).ok_or_else(|| ParseError::new($what, text, $example))
            }
        }
    };
}

unit_number!(
    /// Number of tokens.
    TokenCount(u32), "token count", "tok", "64tok"
);
unit_number!(
    /// Number of bytes.
    ByteCount(u64), "byte count", "B", "16384B"
);
unit_number!(
    /// Tokens per second.
    TokenRate(u64), "token rate", "tok/s", "10500tok/s"
);
unit_number!(
    /// Calls per second, in thousandths.
    CallRate(u64), "call rate", "mcall/s", "2200mcall/s"
);
unit_number!(
    /// Bytes per second.
    ByteRate(u64), "byte rate", "B/s", "11264B/s"
);
unit_number!(
    /// Share of a processor core, in thousandths of a core.
    CoreShare(u32), "core share", "mcore", "250mcore"
);
unit_number!(
    /// Number of one run of a process: its start time in the high bits, random bits below.
    ///
    /// A restarted process has a larger number than the run before it unless the clock was set
    /// back; the random bits make the two numbers differ in either case.
    IncarnationNumber(u64), "incarnation number", "", "7"
);
