//! Finds the line of a field in YAML text.
//!
//! Parsed YAML values carry no positions, but parse errors do. A field is located by parsing the
//! text again and failing on purpose when the field is reached.

use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};

/// One step from a YAML node to a node inside it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum FieldStep {
    /// A key of a mapping.
    Key(Box<str>),
    /// A position in a sequence.
    Index(usize),
}

/// Parses a path of keys and positions, for example `seed_peers[2]`.
pub(super) fn field_path(field: &str) -> Vec<FieldStep> {
    field
        .split(['.', '['])
        .map(|step| match step.strip_suffix(']').map(str::parse) {
            Some(Ok(index)) => FieldStep::Index(index),
            _ => FieldStep::Key(step.into()),
        })
        .collect()
}

/// The line of the node at `path`, counted from 1; nothing if the text has no such node.
pub(super) fn locate(text: &str, path: &[FieldStep]) -> Option<usize> {
    let error = FieldLocator { path }
        .deserialize(serde_norway::Deserializer::from_str(text))
        .err()?;
    error.location().map(|location| location.line())
}

struct FieldLocator<'p> {
    path: &'p [FieldStep],
}

impl<'de> DeserializeSeed<'de> for FieldLocator<'_> {
    type Value = ();

    fn deserialize<D>(self, deserializer: D) -> Result<(), D::Error>
    where
        D: Deserializer<'de>,
    {
        match self.path {
            [] => deserializer.deserialize_any(ReachedVisitor),
            path => deserializer.deserialize_any(StepVisitor { path }),
        }
    }
}

/// Accepts nothing, so that the error marks the node.
struct ReachedVisitor;

impl Visitor<'_> for ReachedVisitor {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the node to locate")
    }
}

/// Descends by one step.
struct StepVisitor<'p> {
    path: &'p [FieldStep],
}

impl<'de> Visitor<'de> for StepVisitor<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a mapping or a sequence")
    }

    fn visit_map<A>(self, mut map: A) -> Result<(), A::Error>
    where
        A: MapAccess<'de>,
    {
        while let Some(key) = map.next_key::<String>()? {
            match self.path {
                [FieldStep::Key(step), rest @ ..] if **step == key => {
                    map.next_value_seed(FieldLocator { path: rest })?;
                }
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        Err(A::Error::custom("there is no such key"))
    }

    fn visit_seq<A>(self, mut sequence: A) -> Result<(), A::Error>
    where
        A: SeqAccess<'de>,
    {
        if let [FieldStep::Index(index), rest @ ..] = self.path {
            for _ in 0..*index {
                sequence.next_element::<IgnoredAny>()?;
            }
            sequence.next_element_seed(FieldLocator { path: rest })?;
        }
        Err(A::Error::custom("there is no such position"))
    }
}
