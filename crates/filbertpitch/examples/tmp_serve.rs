//! tmp
use filbertpitch::serve::*;
fn main() {
    let a: Vec<String> = std::env::args().collect();
    let mut s = NodeSettings::new(a[1].parse().unwrap(), a[2].parse().unwrap(), a[3].parse().unwrap());
    s.vm_list = Some(a[4].parse().unwrap());
    let inc = filbertpitch_types::prelude::IncarnationId(std::process::id() as u64 * 7919 + 12345);
    filbertpitch_wire::runtime::run(async move {
        let life = EntryLife::start(s, inc).unwrap();
        let ready = life.load_configuration().await;
        eprintln!("ready");
        let d = ready.serve_until(std::future::pending()).await;
        d.finish().await;
    }).unwrap();
}
