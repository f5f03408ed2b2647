//! Targets that turn calls away and want nothing for a while.
