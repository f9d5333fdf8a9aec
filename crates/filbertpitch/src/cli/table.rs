//! Output for people and for scripts.

use std::fmt;
use std::io::{self, Write};
use std::time::Duration;

use eyre::{Report, WrapErr};
use filbertpitch_types::units::DurationText;
use serde::Serialize;

use super::CommandError;

/// Text in columns.
#[derive(Clone, Debug, Default)]
pub struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// The space between two columns.
    const GAP: usize = 2;

    /// A table with column titles.
    pub fn new(titles: &[&str]) -> Self {
        let mut table = Self::default();
        table.add(titles);
        table
    }

    /// Adds a row. Rows may have different lengths.
    pub fn add<T>(&mut self, cells: &[T])
    where
        T: ToString,
    {
        self.rows.push(cells.iter().map(T::to_string).collect());
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}

impl fmt::Display for TextTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for row in &self.rows {
            let mut line = String::new();
            for (column, cell) in row.iter().enumerate() {
                let width = self.width(column) + Self::GAP;
                line.push_str(&format!("{cell:width$}"));
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}

/// An optional value, `-` if it is absent.
pub(super) fn optional<T>(value: Option<&T>) -> String
where
    T: ToString,
{
    value.map_or_else(|| "-".to_string(), T::to_string)
}

/// A duration in whole milliseconds, for people.
pub(super) fn rounded(duration: Duration) -> String {
    let millis = duration.as_micros().div_ceil(1000);
    let millis = u64::try_from(millis).unwrap_or(u64::MAX);
    DurationText(Duration::from_millis(millis)).to_string()
}

/// The first line of a text, shortened, with control characters replaced so that a target's
/// output cannot change the terminal.
pub(super) fn one_line(text: &str, limit: usize) -> String {
    let mut characters = text.chars().map(|character| match character {
        character if character.is_control() => ' ',
        character => character,
    });
    let mut line = characters.by_ref().take(limit).collect::<String>();
    if characters.next().is_some() {
        line.push_str("...");
    }
    line
}

/// Writes text to the standard output.
///
/// A reader that closes its end early, for example `head`, has seen what it wants.
pub(super) fn print_text(text: &str) -> Result<(), CommandError> {
    match io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => Err(CommandError::failed(
            Report::new(error).wrap_err("the result cannot be written"),
        )),
        _ => Ok(()),
    }
}

/// Prints a result as one JSON object.
pub(super) fn print_json<T>(result: &T) -> Result<(), CommandError>
where
    T: Serialize,
{
    let text = serde_json::to_string_pretty(result)
        .wrap_err("the result cannot be written as JSON")
        .map_err(CommandError::failed)?;
    print_text(&format!("{text}\n"))
}
