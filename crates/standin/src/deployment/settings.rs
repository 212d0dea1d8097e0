//! The text of the settings files of a deployment's processes.

use crate::deployment::{CONTROL_VMS, Network, control_name, entry_name, wirecraft};
use std::{fmt::Write, path::Path};

/// The shared key with which the processes of a test deployment authenticate each other.
pub(super) const KEY: &str = "a key for stand-ins on loopback only, 64 bytes long or a little more";

/// The settings file of the entry on a VM.
pub(super) fn entry(network: Network, vm: u8, key: &Path) -> String {
    let mut text = node(&entry_name(vm), "entry", vm, key);
    let (listen, peer) = (network.entry(vm), network.entry_peer(vm));
    let _ = writeln!(text, "[entry]\nlisten = {listen}\npeer_listen = {peer}\n");
    text + &replicas(network)
}

/// The settings file of the control replica on a VM.
pub(super) fn control(network: Network, vm: u8, key: &Path, data: &Path) -> String {
    let mut text = node(&control_name(vm), "control", vm, key);
    let (listen, peer) = (network.control(vm), network.control_peer(vm));
    let _ = writeln!(text, "[control]\nlisten = {listen}\npeer_listen = {peer}");
    let _ = writeln!(text, "data = {}\n", data.display());
    text + &replicas(network)
}

fn node(name: &str, role: &str, vm: u8, key: &Path) -> String {
    let (region, domain) = wirecraft::location_of_vm(vm);
    let domains = wirecraft::domains().join(", ");
    format!(
        "[node]\nname = {name}\nrole = {role}\nregion = {region}\nfailure_domain = {domain}\n\n\
         [deployment]\nname = wirecraft\nfailure_domains = {domains}\nkey_file = {}\n\n",
        key.display()
    )
}

fn replicas(network: Network) -> String {
    let mut text = "[replicas]\n".to_owned();
    for vm in CONTROL_VMS {
        let (peer, http) = (network.control_peer(vm), network.control(vm));
        let _ = writeln!(text, "{} = {peer} {http}", control_name(vm));
    }
    text
}
