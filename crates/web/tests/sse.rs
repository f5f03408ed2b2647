//! Server-sent events.

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

/// Guards against events that are lost, joined or cut when a chunk ends anywhere in them.
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

/// Guards against an end of an event that is missed when bytes come one by one.
#[test]
fn single_bytes_give_the_same_blocks() {
    let chunks: Vec<&[u8]> = STREAM.chunks(1).collect();
    assert_eq!(blocks_of(&chunks), expected());
}

/// Guards against chunks that overwrite each other when several come before the first is read.
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

/// Guards against an event without end that fills memory unnoticed.
#[test]
fn a_block_over_the_limit_is_noticed() {
    let mut splitter = EventSplitter::new(8);
    splitter.push(Bytes::from_static(b"data: 12"));
    assert!(splitter.next_block().is_none());
    assert!(!splitter.is_overfull());
    splitter.push(Bytes::from_static(b"3"));
    assert!(splitter.next_block().is_none());
    assert!(splitter.is_overfull());
    assert!(splitter.has_partial());
}

/// Guards against a field that is read from the wrong line or with its line end.
#[test]
fn a_frame_has_the_fields_of_its_lines() {
    let block = b": note\r\nid: g1:7\r\nevent:end\r\nretry: 5\r\ndata:  two\r\ndata: more\r\n\r\n";
    let frame = EventFrame::parse(block);
    assert_eq!(frame.id, Some(&b"g1:7"[..]));
    assert_eq!(frame.name, Some(&b"end"[..]));
    // One space after the colon belongs to the form, the next one to the value.
    assert_eq!(frame.data, Some(&b" two"[..]));
    assert_eq!(EventFrame::parse(b""), EventFrame::default());
    assert_eq!(EventFrame::parse(b"data\n\n"), EventFrame::default());
    assert_eq!(EventFrame::parse(b": id: g1:7\n\n"), EventFrame::default());
    assert_eq!(EventFrame::parse(b"data: a:b").data, Some(&b"a:b"[..]));
}
