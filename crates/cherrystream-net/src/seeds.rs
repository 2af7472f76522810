//! Seeds: addresses of control replicas for the first contact.

use cherrystream_schema::settings::SeedSettings;
use std::net::SocketAddr;

/// Returns the RPC addresses of the control replicas on the seed hosts.
pub fn rpc_addresses(seeds: &SeedSettings) -> Vec<String> {
    let address = |text: &String| {
        let host: SocketAddr = text.parse().ok()?;
        Some(SocketAddr::new(host.ip(), seeds.rpc_port).to_string())
    };
    seeds.addresses.iter().filter_map(address).collect()
}
