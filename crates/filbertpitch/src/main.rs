//! The filbertpitch command.

fn main() {
    println!("Hello, world!");
}
