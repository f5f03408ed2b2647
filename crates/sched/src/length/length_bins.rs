/// Number of bins of a length histogram: four for each power of two up to 131,071 tokens.
pub const LENGTH_BINS: usize = 64;

const MAX_LENGTH: u32 = (1 << 17) - 1;

/// Returns the index of the bin for outputs of `tokens` tokens; larger ones go to the last bin.
///
/// ```
/// assert_eq!(sched::bin_index(0), 0);
/// assert_eq!(sched::bin_index(8), 8);
/// assert_eq!(sched::bin_index(u32::MAX), sched::LENGTH_BINS - 1);
/// ```
pub fn bin_index(tokens: u32) -> usize {
    let tokens = tokens.min(MAX_LENGTH);
    if tokens < 4 {
        return tokens as usize;
    }
    let octave = tokens.ilog2();
    let quarter = (tokens >> (octave - 2)) & 3;
    (4 * (octave - 1) + quarter) as usize
}

/// Returns the smallest length in `bin`; for `LENGTH_BINS` or more, the end of the last bin.
///
/// ```
/// assert_eq!(sched::bin_start(sched::bin_index(640)), 640);
/// ```
pub fn bin_start(bin: usize) -> u32 {
    if bin < 4 {
        return bin as u32;
    }
    let bin = bin.min(LENGTH_BINS) as u32;
    let octave = bin / 4 + 1;
    (4 + bin % 4) << (octave - 2)
}
