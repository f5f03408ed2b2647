use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ParseError;

/// Longest accepted name in bytes; about twice the limit of 63 of a Kubernetes label value.
const NAME_LIMIT: usize = 128;

/// Returns `text` if it is a valid name; `what` names its type in the error.
fn check_name(what: &'static str, text: &str) -> Result<SmolStr, ParseError> {
    if text.is_empty() || text.len() > NAME_LIMIT {
        return Err(ParseError::new(what, text, "1 to 128 bytes"));
    }
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
    if !text.bytes().all(allowed) {
        return Err(ParseError::new(what, text, "letters, digits and -_.:"));
    }
    Ok(SmolStr::new(text))
}

/// Defines a newtype for names that checks its text when it is parsed or deserialized.
macro_rules! text_name {
    ($(#[$doc:meta])* $name:ident, $what:literal) => {
        $(#[$doc])*
        ///
        /// Parsing fails on an empty text, on more than 128 bytes and on bytes other than
        /// letters, digits and `-_.:`.
        ///
        /// ```
        #[doc = concat!("let name: base::", stringify!($name), " = \"quill-2\".parse().unwrap();")]
        /// assert_eq!(name.to_string(), "quill-2");
        #[doc = concat!("assert!(\"two words\".parse::<base::", stringify!($name), ">().is_err());")]
        /// ```
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "SmolStr", into = "SmolStr")]
        pub struct $name(SmolStr);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                check_name($what, text).map(Self)
            }
        }

        impl TryFrom<SmolStr> for $name {
            type Error = ParseError;

            fn try_from(text: SmolStr) -> Result<Self, ParseError> {
                text.parse()
            }
        }

        impl From<$name> for SmolStr {
            fn from(name: $name) -> Self {
                name.0
            }
        }
    };
}

text_name!(
    /// Name of a node, declared by the operators and stable across restarts.
    NodeName,
    "node name"
);
text_name!(
    /// Name of a failure domain.
    DomainName,
    "domain name"
);
text_name!(
    /// Name of a target: a model engine or one instance of a plain service.
    TargetName,
    "target name"
);
text_name!(
    /// Name of a workspace.
    WorkspaceName,
    "workspace name"
);
text_name!(
    /// Name of a model.
    ModelName,
    "model name"
);
text_name!(
    /// Version of a model.
    VersionName,
    "version name"
);
text_name!(
    /// Name of an adapter of a model.
    AdapterName,
    "adapter name"
);
text_name!(
    /// Name of a service: a group of targets that serve the same requests.
    ServiceName,
    "service name"
);
text_name!(
    /// Identifier of one request, taken from its caller or chosen by the node that accepted it.
    RequestId,
    "request id"
);
text_name!(
    /// Identifier of one generation, chosen by the engine that runs it.
    GenerationId,
    "generation id"
);
text_name!(
    /// Identifier of one part of a prompt; prompts that begin alike share their first parts.
    PartId,
    "prompt part id"
);
