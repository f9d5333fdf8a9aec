//! Finds the line of a field in the YAML text of a ticket.
//!
//! The YAML library only exposes positions through deserialization errors. The text is therefore
//! parsed again for each reported error, with a visitor that fails at the field to locate.

use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};

use crate::path::{FieldPath, PathStep};

/// Returns the line of a field, counted from 1. `occurrence` selects among repeated keys, from 0.
pub(crate) fn locate_line(text: &str, path: &FieldPath, occurrence: usize) -> Option<usize> {
    let seed = StepSeed {
        steps: path.steps(),
        occurrence,
    };
    let error = seed
        .deserialize(serde_norway::Deserializer::from_str(text))
        .err()?;
    error.location().map(|location| location.line())
}

/// Descends along the remaining steps and fails at the last one.
#[derive(Clone, Copy)]
struct StepSeed<'a> {
    steps: &'a [PathStep],
    occurrence: usize,
}

impl<'de> DeserializeSeed<'de> for StepSeed<'_> {
    type Value = ();

    fn deserialize<D>(self, deserializer: D) -> Result<(), D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for StepSeed<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the field at the given path")
    }

    fn visit_seq<A>(self, mut access: A) -> Result<(), A::Error>
    where
        A: SeqAccess<'de>,
    {
        let Some((PathStep::Item(position), steps)) = self.steps.split_first() else {
            return Err(A::Error::custom("located"));
        };
        for _ in 0..*position {
            access.next_element::<IgnoredAny>()?;
        }
        access.next_element_seed(StepSeed { steps, ..self })?;
        Err(A::Error::custom("located"))
    }

    fn visit_map<A>(self, mut access: A) -> Result<(), A::Error>
    where
        A: MapAccess<'de>,
    {
        let Some((PathStep::Field(name), steps)) = self.steps.split_first() else {
            return Err(A::Error::custom("located"));
        };
        let last = steps.is_empty();
        let mut to_skip = if last { self.occurrence } else { 0 };
        let mut key = KeySeed { name, fail: false };
        loop {
            key.fail = last && to_skip == 0;
            match access.next_key_seed(key)? {
                None => return Err(A::Error::custom("located")),
                Some(false) => drop(access.next_value::<IgnoredAny>()?),
                Some(true) if last => {
                    to_skip -= 1;
                    access.next_value::<IgnoredAny>()?;
                }
                Some(true) => return access.next_value_seed(StepSeed { steps, ..self }),
            }
        }
    }
}

/// Compares a key with the name of the step; if `fail` is set, fails at a matching key.
#[derive(Clone, Copy)]
struct KeySeed<'a> {
    name: &'a str,
    fail: bool,
}

impl<'de> DeserializeSeed<'de> for KeySeed<'_> {
    type Value = bool;

    fn deserialize<D>(self, deserializer: D) -> Result<bool, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_str(self)
    }
}

impl Visitor<'_> for KeySeed<'_> {
    type Value = bool;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a key")
    }

    fn visit_str<E>(self, key: &str) -> Result<bool, E>
    where
        E: Error,
    {
        match key == self.name {
            true if self.fail => Err(E::custom("located")),
            matches => Ok(matches),
        }
    }
}
