use smol_str::SmolStr;

/// Where a token of a stand-in engine comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenMark {
    /// Generation of the token.
    pub generation: SmolStr,
    /// Position in the generation.
    pub offset: u32,
}

/// Text of a token, which tells its generation and offset.
///
/// ```
/// let text = standin::token_text("g1-2", 0) + &standin::token_text("g1-2", 1);
/// let marks = standin::parse_tokens(&text).unwrap();
/// assert_eq!(marks[1].offset, 1);
/// ```
pub fn token_text(generation: &str, offset: u32) -> String {
    format!("{generation}.{offset} ")
}

/// Reads the marks of a text that consists of whole tokens; `None` if it does not.
pub fn parse_tokens(text: &str) -> Option<Vec<TokenMark>> {
    text.split_terminator(' ').map(parse_token).collect()
}

fn parse_token(word: &str) -> Option<TokenMark> {
    let (generation, offset) = word.rsplit_once('.')?;
    let offset = offset.parse().ok()?;
    let generation = SmolStr::new(generation);
    Some(TokenMark { generation, offset })
}
