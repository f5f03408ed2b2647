//! Compares ways to find the differences between two views, by bytes exchanged and decoding time.
//!
//! The set sketch is PinSketch as described in "The mathematics of Minisketch sketches" (Wuille),
//! over GF(2^32); it is implemented here for the measurement only.
//!
//! `cargo run --release -p member --example sketch`

use std::time::Instant;

use base::IncarnationNumber;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use schema::member::{TargetDrain, TargetRecord};

/// The field polynomial x^32 + x^7 + x^3 + x^2 + 1 without its highest term.
const MODULUS: u32 = 0x8d;

const RECORDS: usize = 314;
const PARTS: usize = 16;
const ROUNDS: usize = 20;

fn main() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let record = encode(&record_of(1));
    let key = 12 + 9 + 2;
    println!("{RECORDS} records of about {record} B; bytes of one exchange, both directions");
    println!("differ  full table  versions  {PARTS} parts  sketch  sketch fits  decode us");
    for differ in [1, 2, 5, 10, 20, 50, 100] {
        let touched = PARTS as f64 * (1.0 - (1.0 - 1.0 / PARTS as f64).powi(differ));
        let differ = differ as usize;
        let full = 2 * RECORDS * record;
        let versions = RECORDS * key + differ * (record + key);
        let per_part = RECORDS as f64 / PARTS as f64 * record as f64;
        let parts = PARTS * 9 + (touched * per_part) as usize + differ * record;
        // Capacity twice the differences, as their number is not known beforehand.
        let capacity = 2 * differ;
        let sketch = capacity * 4 + differ * (4 + record);
        let (found, micros) = decode_rounds(capacity, differ, &mut random);
        println!(
            "{differ:6}  {full:10}  {versions:8}  {parts:8}  {sketch:6}  {found:8}/{ROUNDS}  {micros:9}"
        );
    }
}

fn record_of(number: u64) -> TargetRecord {
    TargetRecord {
        target: format!("balaju1-quill-{number}")
            .parse()
            .expect("a valid name"),
        domain: "balaju1".parse().expect("a valid name"),
        incarnation: IncarnationNumber((1_700_000_000_000 + number) << 20),
        drain: TargetDrain::Leaving,
        version: 1,
        dead: false,
    }
}

fn encode(record: &TargetRecord) -> usize {
    rmp_serde::to_vec(record).expect("it encodes").len()
}

/// Decodes the differences of random pairs of sets; returns how often that succeeded and the mean
/// time in microseconds.
fn decode_rounds(capacity: usize, differ: usize, random: &mut Pcg64Mcg) -> (usize, u128) {
    let mut found = 0;
    let mut spent = 0;
    for _ in 0..ROUNDS {
        let common: Vec<u32> = (0..RECORDS - differ).map(|_| random.random()).collect();
        let mut only: Vec<u32> = (0..differ)
            .map(|_| random.random_range(1..u32::MAX))
            .collect();
        let mut left = vec![0; capacity];
        let mut right = vec![0; capacity];
        common.iter().for_each(|item| add_item(&mut left, *item));
        common
            .iter()
            .chain(&only)
            .for_each(|item| add_item(&mut right, *item));
        let sum: Vec<u32> = left
            .iter()
            .zip(&right)
            .map(|(one, other)| one ^ other)
            .collect();
        let begin = Instant::now();
        let mut decoded = decode(&sum, random).unwrap_or_default();
        spent += begin.elapsed().as_micros();
        decoded.sort_unstable();
        only.sort_unstable();
        found += usize::from(decoded == only);
    }
    (found, spent / ROUNDS as u128)
}

/// Adds the odd powers of an item to the power sums of a sketch.
fn add_item(sketch: &mut [u32], item: u32) {
    let square = multiply(item, item);
    let mut power = item;
    for part in sketch {
        *part ^= power;
        power = multiply(power, square);
    }
}

/// Returns the items of a sketch, or `None` if there are more than its capacity.
fn decode(sketch: &[u32], random: &mut Pcg64Mcg) -> Option<Vec<u32>> {
    let mut sums = vec![0; sketch.len() * 2];
    for index in 1..=sums.len() {
        let half = index / 2;
        sums[index - 1] = match index % 2 {
            1 => sketch[half],
            _ => multiply(sums[half - 1], sums[half - 1]),
        };
    }
    let mut locator = find_locator(&sums);
    if locator.len() > sketch.len() + 1 {
        return None;
    }
    locator.reverse();
    let mut roots = Vec::new();
    find_roots(make_monic(locator), &mut roots, random).then_some(roots)
}

/// Berlekamp-Massey algorithm: the shortest linear recurrence that the power sums obey.
fn find_locator(sums: &[u32]) -> Vec<u32> {
    let mut current = vec![1];
    let mut previous = vec![1];
    let mut length = 0;
    let mut shift = 1;
    let mut scale = 1;
    for index in 0..sums.len() {
        let terms = current.iter().take(length + 1).enumerate();
        let gap = terms.fold(0, |sum, (back, term)| {
            sum ^ multiply(*term, sums[index - back])
        });
        if gap == 0 {
            shift += 1;
            continue;
        }
        let factor = multiply(gap, invert(scale));
        let saved = current.clone();
        current.resize(current.len().max(previous.len() + shift), 0);
        for (offset, term) in previous.iter().enumerate() {
            current[offset + shift] ^= multiply(factor, *term);
        }
        if 2 * length > index {
            shift += 1;
            continue;
        }
        length = index + 1 - length;
        previous = saved;
        scale = gap;
        shift = 1;
    }
    current.truncate(length + 1);
    current
}

/// Berlekamp's trace algorithm; returns false if the polynomial is not a product of distinct linear
/// factors.
fn find_roots(poly: Vec<u32>, roots: &mut Vec<u32>, random: &mut Pcg64Mcg) -> bool {
    match poly.len() {
        0 | 1 => return true,
        2 => {
            roots.push(poly[0]);
            return true;
        }
        _ => {}
    }
    for _ in 0..64 {
        let factor: u32 = random.random_range(1..u32::MAX);
        let mut power = vec![0, factor];
        let mut trace = power.clone();
        for _ in 1..32 {
            power = remainder(square(&power), &poly);
            trace.resize(trace.len().max(power.len()), 0);
            power
                .iter()
                .enumerate()
                .for_each(|(index, term)| trace[index] ^= term);
        }
        let one = common_divisor(poly.clone(), trim(trace));
        if one.len() > 1 && one.len() < poly.len() {
            let other = quotient(poly, &one);
            return find_roots(one, roots, random) && find_roots(other, roots, random);
        }
    }
    false
}

fn square(poly: &[u32]) -> Vec<u32> {
    let mut result = vec![0; poly.len() * 2 - 1];
    for (index, term) in poly.iter().enumerate() {
        result[2 * index] = multiply(*term, *term);
    }
    result
}

/// Remainder by a monic polynomial.
fn remainder(mut poly: Vec<u32>, monic: &[u32]) -> Vec<u32> {
    while poly.len() >= monic.len() {
        let lead = poly.pop().unwrap_or_default();
        let base = poly.len() + 1 - monic.len();
        for (offset, term) in monic[..monic.len() - 1].iter().enumerate() {
            poly[base + offset] ^= multiply(lead, *term);
        }
    }
    trim(poly)
}

/// Quotient by a monic polynomial that divides without remainder.
fn quotient(mut poly: Vec<u32>, monic: &[u32]) -> Vec<u32> {
    let mut result = Vec::new();
    while poly.len() >= monic.len() {
        let lead = poly.pop().unwrap_or_default();
        result.push(lead);
        let base = poly.len() + 1 - monic.len();
        for (offset, term) in monic[..monic.len() - 1].iter().enumerate() {
            poly[base + offset] ^= multiply(lead, *term);
        }
    }
    result.reverse();
    result
}

fn common_divisor(mut left: Vec<u32>, mut right: Vec<u32>) -> Vec<u32> {
    while right != [0] && !right.is_empty() {
        let divisor = make_monic(right);
        right = remainder(left, &divisor);
        left = divisor;
    }
    make_monic(left)
}

fn make_monic(poly: Vec<u32>) -> Vec<u32> {
    let poly = trim(poly);
    let factor = invert(poly.last().copied().unwrap_or(1));
    poly.into_iter()
        .map(|term| multiply(term, factor))
        .collect()
}

fn trim(mut poly: Vec<u32>) -> Vec<u32> {
    while poly.len() > 1 && poly.last() == Some(&0) {
        poly.pop();
    }
    poly
}

fn multiply(left: u32, right: u32) -> u32 {
    let mut result = 0;
    let mut shifted = left;
    for bit in 0..32 {
        result ^= shifted & 0_u32.wrapping_sub(right >> bit & 1);
        shifted = shifted << 1 ^ MODULUS & 0_u32.wrapping_sub(shifted >> 31);
    }
    result
}

/// Inverse of a field element: its power 2^32 - 2.
fn invert(value: u32) -> u32 {
    let mut result = 1;
    let mut power = value;
    for _ in 1..32 {
        power = multiply(power, power);
        result = multiply(result, power);
    }
    result
}
