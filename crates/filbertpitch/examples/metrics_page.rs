//! Prints docs/METRICS.md.

fn main() {
    print!("{}", filbertpitch::metrics::metrics_page());
}
