//! An untyped tree of fields that preserves repeated keys.
//!
//! The maps of the YAML and JSON libraries either drop repeated keys or fail at the first one. A
//! tree that preserves them lets the decoder report all errors of a ticket at once.

use std::fmt;

use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};

/// A value of a ticket before its type is known.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum FieldNode {
    Null,
    Bool(bool),
    Integer(i128),
    Fraction,
    Text(Box<str>),
    List(Vec<FieldNode>),
    Map(Vec<(Box<str>, FieldNode)>),
}

impl FieldNode {
    /// The type of the value, for error messages.
    pub(crate) fn type_name(&self) -> &'static str {
        match self {
            Self::Null => "nothing",
            Self::Bool(_) => "a truth value",
            Self::Integer(_) => "a whole number",
            Self::Fraction => "a fraction",
            Self::Text(_) => "text",
            Self::List(_) => "a list",
            Self::Map(_) => "a mapping",
        }
    }
}

impl<'de> Deserialize<'de> for FieldNode {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_any(NodeVisitor)
    }
}

struct NodeVisitor;

impl<'de> Visitor<'de> for NodeVisitor {
    type Value = FieldNode;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("text, a number, a truth value, a list or a mapping")
    }

    fn visit_unit<E>(self) -> Result<FieldNode, E> {
        Ok(FieldNode::Null)
    }

    fn visit_none<E>(self) -> Result<FieldNode, E> {
        Ok(FieldNode::Null)
    }

    fn visit_bool<E>(self, value: bool) -> Result<FieldNode, E> {
        Ok(FieldNode::Bool(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<FieldNode, E> {
        Ok(FieldNode::Integer(value.into()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<FieldNode, E> {
        Ok(FieldNode::Integer(value.into()))
    }

    fn visit_f64<E>(self, _value: f64) -> Result<FieldNode, E> {
        Ok(FieldNode::Fraction)
    }

    fn visit_str<E>(self, value: &str) -> Result<FieldNode, E> {
        Ok(FieldNode::Text(value.into()))
    }

    fn visit_seq<A>(self, mut access: A) -> Result<FieldNode, A::Error>
    where
        A: SeqAccess<'de>,
    {
        let mut items = Vec::new();
        while let Some(item) = access.next_element()? {
            items.push(item);
        }
        Ok(FieldNode::List(items))
    }

    fn visit_map<A>(self, mut access: A) -> Result<FieldNode, A::Error>
    where
        A: MapAccess<'de>,
    {
        let mut entries = Vec::new();
        while let Some(entry) = access.next_entry()? {
            entries.push(entry);
        }
        Ok(FieldNode::Map(entries))
    }
}
