//! Prints docs/EVENTS.md.

fn main() {
    print!("{}", filbertpitch::events::events_page());
}
