/// Bins of a length histogram: four for each power of two up to 131,071 tokens.
pub const LENGTH_BINS: usize = 64;

const LONGEST: u32 = (1 << 17) - 1;

/// Returns the bin that holds outputs of `tokens` tokens.
///
/// ```
/// assert_eq!(sched::bin_of(0), 0);
/// assert_eq!(sched::bin_of(8), 8);
/// assert_eq!(sched::bin_of(u32::MAX), sched::LENGTH_BINS - 1);
/// ```
pub fn bin_of(tokens: u32) -> usize {
    let tokens = tokens.min(LONGEST);
    if tokens < 4 {
        return tokens as usize;
    }
    let octave = tokens.ilog2();
    let part = (tokens >> (octave - 2)) & 3;
    (4 * (octave - 1) + part) as usize
}

/// Returns the smallest number of tokens in `bin`; the end of the last bin for larger numbers.
///
/// ```
/// assert_eq!(sched::bin_start(sched::bin_of(640)), 640);
/// ```
pub fn bin_start(bin: usize) -> u32 {
    if bin < 4 {
        return bin as u32;
    }
    let bin = bin.min(LENGTH_BINS) as u32;
    let octave = bin / 4 + 1;
    (4 + bin % 4) << (octave - 2)
}
