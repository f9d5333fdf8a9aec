//! The filbertpitch process.

pub mod serve;
