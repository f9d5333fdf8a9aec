//! The server and the client over real connections on loopback.

mod arbitrary_input;
mod client;
mod common;
mod disconnect;
mod server;
