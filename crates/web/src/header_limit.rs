/// Largest number of headers of a request or response.
pub(crate) const HEADER_LIMIT: usize = 256;
