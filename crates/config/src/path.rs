//! Paths to fields of a ticket, so that an error identifies the field that the operator must change.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One step from a value to a value inside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum PathStep {
    /// An item of a list, counted from 0.
    Item(usize),
    /// A field of a mapping.
    Field(Box<str>),
}

/// The path from the root of a ticket to one of its values; `objects[2].takes.order-desk` in text.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FieldPath(Vec<PathStep>);

impl FieldPath {
    /// The path of one object of a ticket.
    pub fn object(position: usize) -> Self {
        Self::default().field("objects").item(position)
    }

    /// Extends the path by a field.
    pub fn field(mut self, name: &str) -> Self {
        self.0.push(PathStep::Field(name.into()));
        self
    }

    /// Extends the path by an item.
    pub fn item(mut self, position: usize) -> Self {
        self.0.push(PathStep::Item(position));
        self
    }

    /// The steps, starting at the root.
    pub fn steps(&self) -> &[PathStep] {
        &self.0
    }

    pub(crate) fn push(&mut self, step: PathStep) {
        self.0.push(step);
    }

    pub(crate) fn pop(&mut self) {
        self.0.pop();
    }
}

impl fmt::Display for FieldPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return f.write_str("ticket");
        }
        for (depth, step) in self.0.iter().enumerate() {
            match step {
                PathStep::Item(position) => write!(f, "[{position}]")?,
                PathStep::Field(name) if depth == 0 => f.write_str(name)?,
                PathStep::Field(name) => write!(f, ".{name}")?,
            }
        }
        Ok(())
    }
}
