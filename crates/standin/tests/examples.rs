//! The example declarations are valid, refer only to what they declare, and match the addresses and
//! sizes that the stand-ins use.

use standin::deployment::{ENTRY_VMS, Network, WIRECRAFT, all_upstreams, entry_name};
use std::{
    collections::BTreeMap,
    fs,
    path::{Path, PathBuf},
};
use types::{DomainName, EntrySpec, Kind, LinkSpec, RegionName, RegionSpec, ServiceSpec};

fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

#[derive(Default)]
struct Declared {
    regions: BTreeMap<String, RegionSpec>,
    links: BTreeMap<String, LinkSpec>,
    services: BTreeMap<String, ServiceSpec>,
    entries: BTreeMap<String, EntrySpec>,
}

fn declared(folder: &str) -> Declared {
    let mut declared = Declared::default();
    for file in fs::read_dir(examples().join(folder)).unwrap() {
        let text = fs::read_to_string(file.unwrap().path()).unwrap();
        let tables: BTreeMap<Kind, BTreeMap<String, toml::Value>> = toml::from_str(&text).unwrap();
        for (kind, resources) in tables {
            for (name, spec) in resources {
                declared.add(kind, name, spec);
            }
        }
    }
    declared
}

impl Declared {
    fn add(&mut self, kind: Kind, name: String, spec: toml::Value) {
        match kind {
            Kind::Region => drop(self.regions.insert(name, spec.try_into().unwrap())),
            Kind::Link => drop(self.links.insert(name, spec.try_into().unwrap())),
            Kind::Service => drop(self.services.insert(name, spec.try_into().unwrap())),
            Kind::Entry => drop(self.entries.insert(name, spec.try_into().unwrap())),
            Kind::Shift | Kind::Drain => panic!("an example declares {kind}/{name}"),
        }
    }

    fn has(&self, region: &RegionName, domain: &DomainName) -> bool {
        let region = self.regions.get(region.as_str());
        region.is_some_and(|region| region.failure_domains.contains(domain))
    }
}

#[test]
fn both_deployments_refer_only_to_what_they_declare() {
    for (folder, limit_kbps, delay_us) in
        [("wirecraft", 300_000, 12_000), ("joto", 4_000_000, 35_000)]
    {
        let declared = declared(folder);
        assert_eq!(declared.regions.len(), 3);
        assert!(
            declared
                .regions
                .values()
                .all(|region| region.failure_domains.len() == 2)
        );
        assert_eq!(declared.links.len(), 3);
        for link in declared.links.values() {
            assert_eq!((link.limit_kbps, link.delay_us), (limit_kbps, delay_us));
            assert!(declared.regions.contains_key(link.a.as_str()));
            assert!(declared.regions.contains_key(link.b.as_str()));
        }
        assert_eq!(declared.services.len(), 4);
        let mut served = declared
            .services
            .values()
            .flat_map(|service| &service.regions);
        assert!(served.all(|region| declared.regions.contains_key(region.as_str())));
        assert_eq!(declared.entries.len(), ENTRY_VMS.len());
        let mut entries = declared.entries.values();
        assert!(entries.all(|entry| declared.has(&entry.region, &entry.failure_domain)));
    }
}

#[test]
fn wirecraft_declares_the_addresses_and_sizes_of_the_stand_ins() {
    let declared = declared("wirecraft");
    let network = Network::new(0, 1);
    for vm in ENTRY_VMS {
        let entry = &declared.entries[&entry_name(vm)];
        assert_eq!(entry.address, network.entry(vm));
        assert_eq!(entry.peer_address, network.entry_peer(vm));
    }
    let upstreams = all_upstreams(&WIRECRAFT, network).unwrap();
    assert_eq!(upstreams.len(), 52);
    for (name, region) in &declared.regions {
        let local_upstreams = upstreams.iter().filter(|spec| spec.region.as_str() == name);
        let slots: u32 = local_upstreams.map(|spec| spec.slots).sum();
        assert!(
            (slots - 3..=slots).contains(&region.capacity_slots),
            "{name}: {slots}"
        );
    }
    for spec in &upstreams {
        assert!(
            declared.has(&spec.region, &spec.failure_domain),
            "{}",
            spec.name
        );
    }
    for workload in &WIRECRAFT {
        let service = &declared.services[workload.service];
        assert_eq!(service.idempotent, workload.idempotent);
        assert_eq!(service.answer_bytes, workload.answer_bytes as u64);
    }
}
