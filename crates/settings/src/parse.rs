//! Parses and checks the text of a settings file, but not the files that it names.

use crate::{
    error::{Expected, Problem, SettingsError},
    gateway::{self, BOUND_KEYS, DISCOVERY_KEYS, GATEWAY_KEYS},
    limits::{self, LIMIT_KEYS},
    model::{
        ControlSettings, DeploymentSettings, EntrySettings, GatewaySettings, LogFormat, LogLevel,
        LogSettings, NodeSettings, ReplicaSettings, Role, Settings,
    },
    overrides::Override,
    section::Section,
};
use ini::{Ini, ParseOption};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};
use types::{DomainName, ReplicaName};

const NODE: &str = "node";
const DEPLOYMENT: &str = "deployment";
const ENTRY: &str = "entry";
const CONTROL: &str = "control";
const REPLICAS: &str = "replicas";
const GATEWAY: &str = "gateway";
const DISCOVERY: &str = "discovery";
const BOUNDS: &str = "bounds";
const REGIONS: &str = "regions";
const LIMITS: &str = "limits";
const LOG: &str = "log";
const SECTIONS: [&str; 11] = [
    NODE, DEPLOYMENT, ENTRY, CONTROL, REPLICAS, GATEWAY, DISCOVERY, BOUNDS, REGIONS, LIMITS, LOG,
];

const LOOKUP_LIFETIME_DEFAULT_MS: u64 = 5_000;
const LOOKUP_LIFETIME_MAX_MS: u64 = 3_600_000;

impl Settings {
    /// Parses the text of a settings file, without opening the files that it names.
    ///
    /// # Errors
    ///
    /// The first [`SettingsError`] found, which names the settings as `file`.
    pub fn parse(text: &str, file: &str) -> Result<Self, SettingsError> {
        Self::parse_with(text, file, &[])
    }

    /// As [`Self::parse`], with keys that are set in place of those of the text.
    ///
    /// # Errors
    ///
    /// As [`Self::parse`].
    pub fn parse_with(
        text: &str,
        file: &str,
        overrides: &[Override],
    ) -> Result<Self, SettingsError> {
        let options = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ParseOption::default()
        };
        let mut ini =
            Ini::load_from_str_opt(text, options).map_err(|error| SettingsError::Syntax {
                file: file.to_owned(),
                line: error.line,
                column: error.col,
                reason: error.msg.into_owned(),
            })?;
        for entry in overrides {
            entry.apply(&mut ini);
        }
        let document = Document { file, ini: &ini };
        document.check_sections()?;
        document.settings()
    }
}

/// The sections of a settings file that is valid INI.
struct Document<'a> {
    /// The file's name in errors.
    file: &'a str,
    ini: &'a Ini,
}

impl<'a> Document<'a> {
    fn check_sections(&self) -> Result<(), SettingsError> {
        if let Some((key, _)) = self.ini.general_section().iter().next() {
            return Err(SettingsError::NoSection {
                file: self.file.to_owned(),
                key: key.to_owned(),
            });
        }
        for section in self.ini.sections().flatten() {
            if !SECTIONS.contains(&section) {
                return Err(SettingsError::UnknownSection {
                    file: self.file.to_owned(),
                    section: section.to_owned(),
                });
            }
            if self.ini.section_all(Some(section)).count() > 1 {
                return Err(SettingsError::RepeatedSection {
                    file: self.file.to_owned(),
                    section: section.to_owned(),
                });
            }
        }
        Ok(())
    }

    fn settings(&self) -> Result<Settings, SettingsError> {
        let deployment = self.deployment()?;
        let node = self.node(&deployment.failure_domains)?;
        let discovery = self
            .section(DISCOVERY, &DISCOVERY_KEYS)?
            .map(|section| gateway::parse_discovery(&section))
            .transpose()?;
        let replicas = match (&discovery, node.role) {
            (Some(_), Role::Gateway | Role::Control) => Vec::new(),
            _ => self.replicas()?,
        };
        let entry = self.entry(node.role)?;
        let control = self.control(&node, &replicas, discovery.is_some())?;
        let gateway = self.gateway(node.role, discovery.is_some())?;
        let bounds = self
            .section(BOUNDS, &BOUND_KEYS)?
            .map(|section| gateway::parse_bounds(&section))
            .transpose()?;
        if (discovery.is_some() || gateway.is_some()) && bounds.is_none() {
            return Err(self.missing_section(BOUNDS));
        }
        let regions = match self.ini.section(Some(REGIONS)) {
            Some(properties) => {
                let section = Section::with_any_keys(self.file, REGIONS, properties)?;
                gateway::parse_regions(&section, &deployment.failure_domains)?
            }
            None => BTreeMap::new(),
        };
        let memory_bytes = gateway.as_ref().map(|it| it.memory_bytes);
        let limits = self.section(LIMITS, &LIMIT_KEYS)?;
        let limits = limits::parse_limits(limits.as_ref(), memory_bytes)?;
        let log = self.log()?;
        self.check_listeners(entry.as_ref(), control.as_ref())?;
        Ok(Settings {
            node,
            deployment,
            entry,
            control,
            gateway,
            replicas,
            discovery,
            bounds,
            regions,
            limits,
            log,
        })
    }

    fn section(
        &self,
        name: &'static str,
        known: &[&str],
    ) -> Result<Option<Section<'a>>, SettingsError> {
        self.ini
            .section(Some(name))
            .map(|properties| Section::new(self.file, name, properties, known))
            .transpose()
    }

    fn required_section(
        &self,
        name: &'static str,
        known: &[&str],
    ) -> Result<Section<'a>, SettingsError> {
        self.section(name, known)?
            .ok_or_else(|| self.missing_section(name))
    }

    fn missing_section(&self, section: &'static str) -> SettingsError {
        SettingsError::MissingSection {
            file: self.file.to_owned(),
            section,
        }
    }

    fn deployment(&self) -> Result<DeploymentSettings, SettingsError> {
        let section =
            self.required_section(DEPLOYMENT, &["name", "failure_domains", "key_file"])?;
        let name: DomainName = section.required("name", Expected::Name)?;
        let list: String = section.required("failure_domains", Expected::NameList)?;
        let invalid = || section.invalid("failure_domains", &list, Expected::NameList);
        let failure_domains = list
            .split(',')
            .map(|name| name.trim().parse().map_err(|_| invalid()))
            .collect::<Result<Vec<DomainName>, _>>()?;
        if failure_domains.iter().collect::<BTreeSet<_>>().len() < failure_domains.len() {
            return Err(invalid());
        }
        Ok(DeploymentSettings {
            name: name.into(),
            failure_domains,
            key_file: section.required_path("key_file")?,
            keys: Vec::new(),
        })
    }

    fn node(&self, declared: &[DomainName]) -> Result<NodeSettings, SettingsError> {
        let known = [
            "name",
            "role",
            "region",
            "failure_domain",
            "single_threaded",
        ];
        let section = self.required_section(NODE, &known)?;
        let name: ReplicaName = section.required("name", Expected::Name)?;
        let failure_domain: DomainName = section.required("failure_domain", Expected::Name)?;
        if !declared.contains(&failure_domain) {
            let domain = failure_domain.into();
            return Err(section.error("failure_domain", Problem::UndeclaredDomain { domain }));
        }
        Ok(NodeSettings {
            name: name.into(),
            role: section.required("role", Expected::Role)?,
            region: section.required("region", Expected::Name)?,
            failure_domain,
            single_threaded: section
                .optional("single_threaded", Expected::Flag)?
                .unwrap_or_default(),
        })
    }

    fn gateway(
        &self,
        role: Role,
        has_discovery: bool,
    ) -> Result<Option<GatewaySettings>, SettingsError> {
        let section = self.section(GATEWAY, &GATEWAY_KEYS)?;
        match (role, section) {
            (Role::Gateway, None) => Err(self.missing_section(GATEWAY)),
            (Role::Gateway, Some(_)) if !has_discovery => Err(self.missing_section(DISCOVERY)),
            (Role::Gateway, Some(section)) => gateway::parse_gateway(&section).map(Some),
            (Role::Entry | Role::Control | Role::Both, _) => Ok(None),
        }
    }

    fn entry(&self, role: Role) -> Result<Option<EntrySettings>, SettingsError> {
        let known = [
            "listen",
            "peer_listen",
            "announce_tokens_file",
            "lookup_lifetime_ms",
            "client_blocks_file",
        ];
        let Some(section) = self.section(ENTRY, &known)? else {
            return match role.has_entry() {
                true => Err(self.missing_section(ENTRY)),
                false => Ok(None),
            };
        };
        let key = "lookup_lifetime_ms";
        let lookup_lifetime_ms = section
            .optional(key, Expected::Milliseconds)?
            .unwrap_or(LOOKUP_LIFETIME_DEFAULT_MS);
        if !(1..=LOOKUP_LIFETIME_MAX_MS).contains(&lookup_lifetime_ms) {
            let value = lookup_lifetime_ms.to_string();
            return Err(section.invalid(key, &value, Expected::Milliseconds));
        }
        let entry = EntrySettings {
            listen: section.required("listen", Expected::Address)?,
            peer_listen: section.required("peer_listen", Expected::Address)?,
            announce_tokens_file: section.optional_path("announce_tokens_file")?,
            announce_tokens: Vec::new(),
            lookup_lifetime_ms,
            client_blocks_file: section.optional_path("client_blocks_file")?,
            client_blocks: None,
        };
        Ok(role.has_entry().then_some(entry))
    }

    fn control(
        &self,
        node: &NodeSettings,
        replicas: &[ReplicaSettings],
        has_discovery: bool,
    ) -> Result<Option<ControlSettings>, SettingsError> {
        let known = [
            "listen",
            "peer_listen",
            "lookup_listen",
            "interface",
            "data",
            "operator_tokens_file",
        ];
        let Some(section) = self.section(CONTROL, &known)? else {
            return match node.role.has_control() {
                true => Err(self.missing_section(CONTROL)),
                false => Ok(None),
            };
        };
        let control = ControlSettings {
            listen: section.required("listen", Expected::Address)?,
            peer_listen: section.required("peer_listen", Expected::Address)?,
            interface: section
                .optional("interface", Expected::Interface)?
                .unwrap_or_default(),
            lookup_listen: section.optional("lookup_listen", Expected::Address)?,
            data: section.required_path("data")?,
            operator_tokens_file: section.optional_path("operator_tokens_file")?,
            operator_tokens: Vec::new(),
        };
        if !node.role.has_control() {
            return Ok(None);
        }
        if !has_discovery {
            self.check_replica_is_listed(node, replicas)?;
        }
        Ok(Some(control))
    }

    fn check_replica_is_listed(
        &self,
        node: &NodeSettings,
        replicas: &[ReplicaSettings],
    ) -> Result<(), SettingsError> {
        if replicas
            .iter()
            .any(|replica| replica.name.as_str() == node.name)
        {
            return Ok(());
        }
        let node = node.name.clone();
        Err(SettingsError::Key {
            file: self.file.to_owned(),
            section: REPLICAS.to_owned(),
            key: node.clone(),
            problem: Problem::UndeclaredReplica { node },
        })
    }

    fn replicas(&self) -> Result<Vec<ReplicaSettings>, SettingsError> {
        let properties = self
            .ini
            .section(Some(REPLICAS))
            .filter(|properties| !properties.is_empty())
            .ok_or_else(|| self.missing_section(REPLICAS))?;
        let section = Section::with_any_keys(self.file, REPLICAS, properties)?;
        let mut addresses = BTreeSet::new();
        let mut replicas = Vec::new();
        for (key, value) in section.iter() {
            let replica = parse_replica(&section, key, value)?;
            for address in [replica.peer_address, replica.http_address] {
                if !addresses.insert(address) {
                    let address = address.to_string();
                    return Err(section.error(key, Problem::RepeatedAddress { address }));
                }
            }
            replicas.push(replica);
        }
        Ok(replicas)
    }

    fn log(&self) -> Result<LogSettings, SettingsError> {
        let mut log = LogSettings {
            level: LogLevel::Info,
            format: LogFormat::Text,
        };
        if let Some(section) = self.section(LOG, &["level", "format"])? {
            if let Some(level) = section.optional("level", Expected::Level)? {
                log.level = level;
            }
            if let Some(format) = section.optional("format", Expected::Format)? {
                log.format = format;
            }
        }
        Ok(log)
    }

    fn check_listeners(
        &self,
        entry: Option<&EntrySettings>,
        control: Option<&ControlSettings>,
    ) -> Result<(), SettingsError> {
        let entry = entry.map(|entry| (ENTRY, entry.listen, entry.peer_listen));
        let control = control.map(|control| (CONTROL, control.listen, control.peer_listen));
        let mut used = BTreeSet::new();
        for (section, listen, peer_listen) in entry.into_iter().chain(control) {
            for (key, address) in [("listen", listen), ("peer_listen", peer_listen)] {
                if address.port() != 0 && !used.insert(address) {
                    return Err(SettingsError::Key {
                        file: self.file.to_owned(),
                        section: section.to_owned(),
                        key: key.to_owned(),
                        problem: Problem::RepeatedAddress {
                            address: address.to_string(),
                        },
                    });
                }
            }
        }
        Ok(())
    }
}

fn parse_replica(
    section: &Section<'_>,
    key: &str,
    value: &str,
) -> Result<ReplicaSettings, SettingsError> {
    let name = key
        .parse()
        .map_err(|_| section.invalid(key, key, Expected::Name))?;
    let addresses: Vec<SocketAddr> = value
        .split_whitespace()
        .map(str::parse)
        .collect::<Result<_, _>>()
        .map_err(|_| section.invalid(key, value, Expected::AddressPair))?;
    match addresses.as_slice() {
        &[peer_address, http_address] => Ok(ReplicaSettings {
            name,
            peer_address,
            http_address,
        }),
        _ => Err(section.invalid(key, value, Expected::AddressPair)),
    }
}
