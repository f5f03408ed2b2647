//! Splitting and parsing of server-sent events.

use bytes::Bytes;
use web::{EventFrame, EventSplitter};

const STREAM: &[u8] = b"id: g1:0\ndata: {\"a\":1}\n\n: comment\n\nid: g1:1\r\ndata: b\r\n\r\n\
    data: c\n\nevent: end\ndata: d\n\ndata: [DONE]\n\n";

fn blocks_of(chunks: &[&[u8]]) -> Vec<Bytes> {
    let mut splitter = EventSplitter::new(1 << 16);
    let mut blocks = Vec::new();
    for chunk in chunks {
        splitter.push(Bytes::copy_from_slice(chunk));
        while let Some(block) = splitter.next_block() {
            blocks.push(block);
        }
    }
    assert!(!splitter.has_partial(), "nothing is left");
    blocks
}

fn expected() -> Vec<Bytes> {
    let blocks: [&[u8]; 6] = [
        b"id: g1:0\ndata: {\"a\":1}\n\n",
        b": comment\n\n",
        b"id: g1:1\r\ndata: b\r\n\r\n",
        b"data: c\n\n",
        b"event: end\ndata: d\n\n",
        b"data: [DONE]\n\n",
    ];
    blocks.map(Bytes::from_static).to_vec()
}

/// Guards against events that are lost, joined or cut, wherever in them a chunk ends.
#[test]
fn every_pair_of_split_points_gives_the_same_blocks() {
    for first in 0..=STREAM.len() {
        for second in first..=STREAM.len() {
            let (head, rest) = STREAM.split_at(first);
            let (middle, tail) = rest.split_at(second - first);
            let blocks = blocks_of(&[head, middle, tail]);
            assert_eq!(blocks, expected(), "split at {first} and {second}");
        }
    }
}

/// Guards against missing the end of an event when bytes arrive one by one.
#[test]
fn single_bytes_give_the_same_blocks() {
    let chunks: Vec<&[u8]> = STREAM.chunks(1).collect();
    assert_eq!(blocks_of(&chunks), expected());
}

/// Guards against losing or reordering chunks when several are pushed before a block is taken.
#[test]
fn chunks_pushed_in_a_row_stay_in_order() {
    for size in 1..STREAM.len() {
        let mut splitter = EventSplitter::new(1 << 16);
        STREAM
            .chunks(size)
            .for_each(|chunk| splitter.push(Bytes::copy_from_slice(chunk)));
        let blocks: Vec<Bytes> = std::iter::from_fn(|| splitter.next_block()).collect();
        assert_eq!(blocks, expected(), "chunks of {size}");
    }
}

/// Guards against an event without end that fills the memory because the limit is not reported.
#[test]
fn a_block_over_the_limit_is_reported() {
    let mut splitter = EventSplitter::new(8);
    splitter.push(Bytes::from_static(b"data: 12"));
    assert!(splitter.next_block().is_none());
    assert!(!splitter.exceeds_limit());
    splitter.push(Bytes::from_static(b"3"));
    assert!(splitter.next_block().is_none());
    assert!(splitter.exceeds_limit());
    assert!(splitter.has_partial());
}

/// Guards against reading a field from the wrong line or including the line end in its value.
#[test]
fn a_frame_has_the_fields_of_its_lines() {
    let block = b": note\r\nid: g1:7\r\nevent:end\r\nretry: 5\r\ndata:  two\r\ndata: more\r\n\r\n";
    let frame = EventFrame::parse(block);
    assert_eq!(frame.id, Some(&b"g1:7"[..]));
    assert_eq!(frame.name, Some(&b"end"[..]));
    // The standard strips one space after the colon; the second one belongs to the value.
    assert_eq!(frame.data, Some(&b" two"[..]));
    assert_eq!(EventFrame::parse(b""), EventFrame::default());
    assert_eq!(EventFrame::parse(b"data\n\n"), EventFrame::default());
    assert_eq!(EventFrame::parse(b": id: g1:7\n\n"), EventFrame::default());
    assert_eq!(EventFrame::parse(b"data: a:b").data, Some(&b"a:b"[..]));
}
