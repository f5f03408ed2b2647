use smol_str::SmolStr;

/// Generation and offset that the text of a stand-in token contains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenOrigin {
    /// Generation of the token.
    pub generation: SmolStr,
    /// Position in the generation.
    pub offset: u32,
}

/// Returns the text of a token, which encodes its generation and offset, so that tests can detect
/// lost, repeated or foreign tokens.
///
/// ```
/// let text = standin::token_text("g1-2", 0) + &standin::token_text("g1-2", 1);
/// let origins = standin::parse_tokens(&text).unwrap();
/// assert_eq!(origins[1].offset, 1);
/// ```
pub fn token_text(generation: &str, offset: u32) -> String {
    format!("{generation}.{offset} ")
}

/// Parses a text of whole tokens into their origins; `None` if it contains anything else.
pub fn parse_tokens(text: &str) -> Option<Vec<TokenOrigin>> {
    text.split_terminator(' ').map(parse_token).collect()
}

fn parse_token(word: &str) -> Option<TokenOrigin> {
    let (generation, offset) = word.rsplit_once('.')?;
    let offset = offset.parse().ok()?;
    let generation = SmolStr::new(generation);
    Some(TokenOrigin { generation, offset })
}
