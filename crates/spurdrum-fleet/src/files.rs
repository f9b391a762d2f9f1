//! Generates the nodes' configuration files.

use std::fmt::Write as _;
use std::net::SocketAddr;

use spurdrum_load::plan::Effect;

use crate::scenario::{workers, Scenario};

/// Number of file descriptors that a node may use.
const MAX_SOCKETS: usize = 2048;

/// Returns the part of a node's file that is specific to the node.
#[must_use]
pub fn node_part(scenario: &Scenario, index: usize, listen: SocketAddr) -> String {
    let (zones, zone) = (scenario.zones(), scenario.zone_of(index));
    let stated_nodes = scenario.told.unwrap_or(scenario.nodes);
    format!(
        "[node]\nname = \"n{index}\"\nlisten = \"{listen}\"\nseed = {}\nsockets = {MAX_SOCKETS}\nnodes = {stated_nodes}\n\
         me = {}\nzone = {zone:?}\nzones = {zones:?}\nretry_after_most_ms = 400\n",
        scenario.seed.wrapping_mul(1000).wrapping_add(index as u64) >> 1,
        index % stated_nodes,
    )
}

/// Returns the part of the file that all nodes share. `at` returns the address of a server by its index.
#[must_use]
pub fn shared_part(
    scenario: &Scenario,
    catalog: SocketAddr,
    servers: &[(String, SocketAddr)],
    at: impl Fn(usize) -> SocketAddr,
) -> String {
    let mut file = String::new();
    for class in &scenario.classes {
        let (effect, group) = match class.effect {
            Effect::Safe => ("safe", String::new()),
            Effect::Unsafe => ("unsafe", String::new()),
            Effect::Keyed => ("keyed", format!("group = \"all\"\nwindow_ms = {:.1}\n", scenario.window_ms)),
        };
        let (objective_ms, deadline_ms) = (class.latency_objective_s * 1000.0, class.deadline_s * 1000.0);
        let _ = write!(
            file,
            "[[class]]\nname = {:?}\neffect = \"{effect}\"\n{group}aim_ms = {objective_ms:.1}\ndeadline_ms = {deadline_ms:.1}\n",
            class.name
        );
    }
    let slow_starts = scenario.servers.iter().map(|spec| (spec.cold_s * 1000.0, spec.cold_from));
    let (cold_ms, cold_from) = slow_starts.fold((0.0, 1.0), |a: (f64, f64), b| (a.0.max(b.0), a.1.min(b.1)));
    let _ = write!(file, "[servers]\ncold_ms = {cold_ms:.1}\ncold_from = {cold_from:.3}\n");
    if scenario.catalog.is_some() {
        let _ = write!(file, "[sources.catalog]\naddress = \"{catalog}\"\n");
        return file;
    }
    file.push_str("[sources.static]\nservers = [\n");
    for (n, (name, _)) in servers.iter().enumerate() {
        let spec = scenario.spec_of(name);
        let weight = spec.map_or(1.0, |spec| workers(spec) as f64 * spec.speed);
        let zone = spec.map_or("", |spec| spec.zone.as_str());
        let at = at(n);
        let _ =
            writeln!(file, "{{ id = {name:?}, address = \"{at}\", zone = {zone:?}, weight = {weight:.3} }},");
    }
    file.push_str("]\n");
    file
}
