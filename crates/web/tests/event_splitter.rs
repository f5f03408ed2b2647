//! Splitting of event blocks that arrive in several chunks, with LF and CR LF line ends.

use bytes::Bytes;
use web::EventSplitter;
use yare::parameterized;

/// Guards against missing the end of a block that arrives in several chunks, with any of the line
/// ends that engines use.
#[parameterized(
    line_feeds = { "id: g:0\ndata: a\n\n", "data: b\n\n" },
    carriage_returns = { "id: g:0\r\ndata: a\r\n\r\n", "data: b\r\n\r\n" },
    mixed = { "id: g:0\r\ndata: a\n\n", "data: b\r\n\r\n" },
    empty_line_only = { "\n\n", "\r\n\r\n" },
)]
fn blocks_are_split_at_every_cut(first: &str, second: &str) {
    let text = format!("{first}{second}");
    for cut in 0..=text.len() {
        for next in cut..=text.len() {
            let mut splitter = EventSplitter::new(1_024);
            let mut blocks = Vec::new();
            for part in [&text[..cut], &text[cut..next], &text[next..]] {
                splitter.push(Bytes::copy_from_slice(part.as_bytes()));
                while let Some(block) = splitter.next_block() {
                    blocks.push(block);
                }
            }
            assert_eq!(blocks, [first, second], "cuts at {cut} and {next}");
            assert!(!splitter.has_partial());
        }
    }
}

/// Guards against taking a single line end, or line ends of other forms, for the end of a block.
#[parameterized(
    one_line_feed = { "data: a\n" },
    one_of_each = { "data: a\r\n" },
    feed_then_both = { "data: a\n\r\n" },
    returns = { "data: a\r\r" },
)]
fn one_line_end_ends_no_block(text: &str) {
    let mut splitter = EventSplitter::new(1_024);
    splitter.push(Bytes::copy_from_slice(text.as_bytes()));
    assert!(splitter.next_block().is_none());
    assert!(splitter.has_partial());
}
