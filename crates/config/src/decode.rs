//! Decodes an untyped tree of fields and collects all errors instead of stopping at the first one.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::str::FromStr;

use filbertpitch_types::text::ParseError;

use crate::error::ParseProblem;
use crate::node::FieldNode;
use crate::path::{FieldPath, PathStep};

/// The maximum number of errors reported for one ticket. Finding the line of an error requires
/// parsing the whole text again.
pub(crate) const ERROR_LIMIT: usize = 64;

/// An error before its line is known.
pub(crate) struct FieldError {
    pub(crate) path: FieldPath,
    /// Selects among repeated keys, counted from 0.
    pub(crate) occurrence: usize,
    pub(crate) problem: ParseProblem,
}

/// The current path within the tree and the errors found so far.
#[derive(Default)]
pub(crate) struct FieldDecoder {
    path: FieldPath,
    errors: Vec<FieldError>,
}

/// The fields of a mapping that have not been decoded yet.
pub(crate) struct FieldMap(BTreeMap<Box<str>, FieldNode>);

impl FieldMap {
    pub(crate) fn take(&mut self, name: &str) -> Option<FieldNode> {
        self.0.remove(name)
    }

    pub(crate) fn contains(&self, name: &str) -> bool {
        self.0.contains_key(name)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl FieldDecoder {
    pub(crate) fn into_errors(self) -> Vec<FieldError> {
        self.errors
    }

    pub(crate) fn report(&mut self, problem: ParseProblem) {
        self.report_occurrence(problem, 0);
    }

    fn report_occurrence(&mut self, problem: ParseProblem, occurrence: usize) {
        if self.errors.len() < ERROR_LIMIT {
            self.errors.push(FieldError {
                path: self.path.clone(),
                occurrence,
                problem,
            });
        }
    }

    fn wrong_type<T>(&mut self, expected: &'static str, node: &FieldNode) -> Option<T> {
        let found = node.type_name();
        self.report(ParseProblem::WrongType { expected, found });
        None
    }

    /// Runs `read` with the path extended by `step`.
    pub(crate) fn within<T, F>(&mut self, step: PathStep, read: F) -> T
    where
        F: FnOnce(&mut Self) -> T,
    {
        self.path.push(step);
        let value = read(self);
        self.path.pop();
        value
    }

    /// Returns the fields of a mapping. Repeated fields are reported, and the first value is used.
    pub(crate) fn fields(&mut self, node: FieldNode) -> Option<FieldMap> {
        let FieldNode::Map(entries) = node else {
            return self.wrong_type("a mapping", &node);
        };
        let mut fields = BTreeMap::new();
        let mut repeats = BTreeMap::<Box<str>, usize>::new();
        for (name, value) in entries {
            match fields.entry(name) {
                Entry::Vacant(entry) => drop(entry.insert(value)),
                Entry::Occupied(entry) => {
                    let name = entry.key();
                    let repeat = repeats.entry(name.clone()).or_default();
                    *repeat += 1;
                    self.within(PathStep::Field(name.clone()), |decoder| {
                        decoder.report_occurrence(ParseProblem::DuplicateField, *repeat);
                    });
                }
            }
        }
        Some(FieldMap(fields))
    }

    /// Reports the remaining fields as unknown.
    pub(crate) fn finish(&mut self, fields: FieldMap) {
        for name in fields.0.into_keys() {
            self.within(PathStep::Field(name), |decoder| {
                decoder.report(ParseProblem::UnknownField);
            });
        }
    }

    /// Reads a field that must be present.
    pub(crate) fn required<T, F>(
        &mut self,
        fields: &mut FieldMap,
        name: &'static str,
        read: F,
    ) -> Option<T>
    where
        F: FnOnce(&mut Self, FieldNode) -> Option<T>,
    {
        match fields.take(name) {
            Some(node) => self.within(PathStep::Field(name.into()), |decoder| read(decoder, node)),
            None => {
                self.report(ParseProblem::MissingField(name));
                None
            }
        }
    }

    /// Reads a field that may be absent; `Some(None)` when it is.
    pub(crate) fn optional<T, F>(
        &mut self,
        fields: &mut FieldMap,
        name: &'static str,
        read: F,
    ) -> Option<Option<T>>
    where
        F: FnOnce(&mut Self, FieldNode) -> Option<T>,
    {
        match fields.take(name) {
            Some(node) => self
                .within(PathStep::Field(name.into()), |decoder| read(decoder, node))
                .map(Some),
            None => Some(None),
        }
    }

    /// Reads text without parsing it.
    pub(crate) fn plain_text(&mut self, node: FieldNode) -> Option<Box<str>> {
        match node {
            FieldNode::Text(text) => Some(text),
            other => self.wrong_type("text (quote it if it looks like a number)", &other),
        }
    }

    /// Reads text and parses it as a `T`.
    pub(crate) fn text<T>(&mut self, node: FieldNode) -> Option<T>
    where
        T: FromStr<Err = ParseError>,
    {
        let text = self.plain_text(node)?;
        self.parsed(&text)
    }

    fn parsed<T>(&mut self, text: &str) -> Option<T>
    where
        T: FromStr<Err = ParseError>,
    {
        text.parse()
            .map_err(|error| self.report(ParseProblem::Text(error)))
            .ok()
    }

    /// Reads an IP address with a port.
    pub(crate) fn address(&mut self, node: FieldNode) -> Option<SocketAddr> {
        let text = self.plain_text(node)?;
        let error = |_| ParseError::new("address", &text, "expected IP:PORT");
        text.parse()
            .map_err(|cause| self.report(ParseProblem::Text(error(cause))))
            .ok()
    }

    /// Reads a whole number.
    pub(crate) fn number<T>(&mut self, node: FieldNode) -> Option<T>
    where
        T: TryFrom<i128>,
    {
        let FieldNode::Integer(found) = node else {
            return self.wrong_type("a whole number", &node);
        };
        T::try_from(found)
            .map_err(|_| self.report(ParseProblem::NumberRange { found }))
            .ok()
    }

    /// Reads the literal `true`; the field is absent unless the object is removed.
    pub(crate) fn removed(&mut self, node: FieldNode) -> Option<()> {
        match node {
            FieldNode::Bool(true) => Some(()),
            FieldNode::Bool(false) => {
                self.report(ParseProblem::RemovedFalse);
                None
            }
            other => self.wrong_type("`true`", &other),
        }
    }

    /// Reads every item of a list; `None` if any item has an error.
    pub(crate) fn list<T, F>(&mut self, node: FieldNode, mut read: F) -> Option<Vec<T>>
    where
        F: FnMut(&mut Self, FieldNode) -> Option<T>,
    {
        let FieldNode::List(nodes) = node else {
            return self.wrong_type("a list", &node);
        };
        let count = nodes.len();
        let items = nodes
            .into_iter()
            .enumerate()
            .filter_map(|(position, node)| {
                self.within(PathStep::Item(position), |decoder| read(decoder, node))
            })
            .collect::<Vec<_>>();
        (items.len() == count).then_some(items)
    }

    /// Reads a list of texts without duplicates.
    pub(crate) fn text_set<T>(&mut self, node: FieldNode) -> Option<BTreeSet<T>>
    where
        T: FromStr<Err = ParseError> + Ord + Clone,
    {
        let mut seen = BTreeSet::new();
        let items = self.list(node, |decoder, node| {
            let item = decoder.text::<T>(node)?;
            if !seen.insert(item.clone()) {
                decoder.report(ParseProblem::DuplicateItem);
                return None;
            }
            Some(item)
        })?;
        Some(items.into_iter().collect())
    }

    /// Reads a mapping from names to values; `None` if any entry has an error.
    pub(crate) fn named<K, T, F>(&mut self, node: FieldNode, mut read: F) -> Option<BTreeMap<K, T>>
    where
        K: FromStr<Err = ParseError> + Ord,
        F: FnMut(&mut Self, FieldNode) -> Option<T>,
    {
        let fields = self.fields(node)?;
        let count = fields.0.len();
        let entries = fields
            .0
            .into_iter()
            .filter_map(|(name, node)| {
                let step = PathStep::Field(name.clone());
                self.within(step, |decoder| {
                    let key = decoder.parsed(&name);
                    let value = read(decoder, node);
                    Some((key?, value?))
                })
            })
            .collect::<BTreeMap<_, _>>();
        (entries.len() == count).then_some(entries)
    }
}
