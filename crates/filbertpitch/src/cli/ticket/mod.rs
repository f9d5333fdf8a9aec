//! `filbertpitch ticket`.

mod apply;
mod fleet;
mod history;
mod reader;

pub(super) use self::apply::apply;
pub(super) use self::history::{list, show};
