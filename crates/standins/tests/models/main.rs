//! Tests of the models without I/O.

mod platform;
mod support;
mod target;
