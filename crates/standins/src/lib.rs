//! Placeholder module, replaced by the first commit of this crate.
