//! Failures of reading settings.

use locate::BlockError;
use std::{io, path::PathBuf};
use thiserror::Error;

/// Settings that can't be used; the text is one line that names file, section and key.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The settings file can't be read.
    #[error("{file}: can't be read: {source}")]
    Unreadable {
        /// The settings file.
        file: String,
        /// What the system said.
        source: io::Error,
    },
    /// The settings file is no INI.
    #[error("{file}: line {line}, column {column}: {reason}")]
    Syntax {
        /// The settings file.
        file: String,
        /// Where the reader stopped.
        line: usize,
        /// Where the reader stopped.
        column: usize,
        /// What the reader said.
        reason: String,
    },
    /// A key stands before the first section.
    #[error("{file}: key {key}: stands outside any section")]
    NoSection {
        /// The settings file.
        file: String,
        /// The key.
        key: String,
    },
    /// A section is not one of the declared ones.
    #[error("{file}: [{section}]: unknown section")]
    UnknownSection {
        /// The settings file.
        file: String,
        /// The section.
        section: String,
    },
    /// A section stands twice.
    #[error("{file}: [{section}]: section stands more than once")]
    RepeatedSection {
        /// The settings file.
        file: String,
        /// The section.
        section: String,
    },
    /// A section that the role needs is missing.
    #[error("{file}: [{section}]: missing section")]
    MissingSection {
        /// The settings file.
        file: String,
        /// The section.
        section: &'static str,
    },
    /// A key or its value is wrong.
    #[error("{file}: [{section}] {key}: {problem}")]
    Key {
        /// The settings file.
        file: String,
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// What is wrong with it.
        problem: Problem,
    },
}

/// What is wrong with one key.
#[derive(Debug, Error)]
pub enum Problem {
    /// The section has no such key.
    #[error("unknown key")]
    Unknown,
    /// The key stands twice.
    #[error("key stands more than once")]
    Repeated,
    /// The key must be given.
    #[error("missing key")]
    Missing,
    /// The value can't be read.
    #[error("{value:?} is not {expected}")]
    Invalid {
        /// What stands there.
        value: String,
        /// What should.
        expected: Expected,
    },
    /// The failure domain is not one of `[deployment] failure_domains`.
    #[error("{domain:?} is not one of [deployment] failure_domains")]
    UndeclaredDomain {
        /// The failure domain.
        domain: String,
    },
    /// The role runs a control replica that `[replicas]` doesn't name.
    #[error("{node:?} runs a control replica and is not named in [replicas]")]
    UndeclaredReplica {
        /// This process's name.
        node: String,
    },
    /// Two keys or sections use the same address.
    #[error("{address} is used more than once")]
    RepeatedAddress {
        /// The address.
        address: String,
    },
    /// The data folder doesn't exist or is no folder.
    #[error("data folder {} does not exist", path.display())]
    MissingFolder {
        /// The folder.
        path: PathBuf,
    },
    /// A file that the value names can't be read.
    #[error("file {} can't be read: {source}", path.display())]
    UnreadableFile {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The file holds no key or token.
    #[error("file {} holds no line", path.display())]
    EmptyFile {
        /// The file.
        path: PathBuf,
    },
    /// A key of the key file is too short.
    #[error("line {line} of file {} has {len_bytes} bytes, fewer than {min_bytes}", path.display())]
    ShortKey {
        /// The file.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
        /// The key's length.
        len_bytes: usize,
        /// The shortest allowed.
        min_bytes: usize,
    },
    /// The blocks of clients can't be used.
    #[error("file {}: {source}", path.display())]
    ClientBlocks {
        /// The file.
        path: PathBuf,
        /// The first mistake.
        source: Box<BlockError>,
    },
    /// A line of the announcement tokens can't be read.
    #[error("line {line} of file {} is not TOKEN SERVICE[,SERVICE...]", path.display())]
    InvalidToken {
        /// The file.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
    },
}

/// What a value should have been.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
pub enum Expected {
    /// A name.
    #[strum(to_string = "a name (1 to 63 of a-z, 0-9, '-' and '.')")]
    Name,
    /// A role.
    #[strum(to_string = "a role (entry, control, both or gateway)")]
    Role,
    /// A socket address.
    #[strum(to_string = "an address IP:PORT")]
    Address,
    /// Two socket addresses.
    #[strum(to_string = "PEER_ADDRESS HTTP_ADDRESS")]
    AddressPair,
    /// A number of milliseconds.
    #[strum(to_string = "a number of milliseconds from 1 to 3600000")]
    Milliseconds,
    /// A list of names.
    #[strum(to_string = "a list of different names separated by commas")]
    NameList,
    /// A list of socket addresses.
    #[strum(to_string = "a list of addresses IP:PORT separated by commas")]
    AddressList,
    /// A whole number.
    #[strum(to_string = "a whole number")]
    Count,
    /// A decimal number.
    #[strum(to_string = "a decimal number from 0 to 3600000")]
    Decimal,
    /// A yes or no.
    #[strum(to_string = "true or false")]
    Flag,
    /// An interface.
    #[strum(to_string = "an interface (native or platform)")]
    Interface,
    /// A path.
    #[strum(to_string = "a path")]
    Path,
    /// A log level.
    #[strum(to_string = "a level (critical, error, warning, info, debug or trace)")]
    Level,
    /// A log format.
    #[strum(to_string = "a format (text or json)")]
    Format,
}
