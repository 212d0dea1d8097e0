//! Errors in the settings and in the files that they name.

use locate::BlockError;
use std::{io, path::PathBuf};
use thiserror::Error;

/// Why settings are rejected. The text is one line that names the file, section and key.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The settings file can't be read.
    #[error("{file}: can't be read: {source}")]
    Unreadable {
        /// The settings file.
        file: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The settings file is not valid INI.
    #[error("{file}: line {line}, column {column}: {reason}")]
    Syntax {
        /// The settings file.
        file: String,
        /// The line at which parsing stopped.
        line: usize,
        /// The column at which parsing stopped.
        column: usize,
        /// The parser's message.
        reason: String,
    },
    /// A key appears before the first section.
    #[error("{file}: key {key}: appears before the first section")]
    NoSection {
        /// The settings file.
        file: String,
        /// The first key of the file.
        key: String,
    },
    /// There is no section of this name.
    #[error("{file}: [{section}]: unknown section")]
    UnknownSection {
        /// The settings file.
        file: String,
        /// The section's name as written, without brackets.
        section: String,
    },
    /// A section appears more than once.
    #[error("{file}: [{section}]: section appears more than once")]
    RepeatedSection {
        /// The settings file.
        file: String,
        /// The name of the repeated section, without brackets.
        section: String,
    },
    /// A section that the role needs is missing.
    #[error("{file}: [{section}]: missing section")]
    MissingSection {
        /// The settings file.
        file: String,
        /// The name of the absent section, without brackets.
        section: &'static str,
    },
    /// A key or its value is wrong.
    #[error("{file}: [{section}] {key}: {problem}")]
    Key {
        /// The settings file.
        file: String,
        /// The name of the section that holds the key, without brackets.
        section: String,
        /// The key's name; in `[replicas]`, the name of a control replica.
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
    /// The key appears more than once in its section.
    #[error("key appears more than once")]
    Repeated,
    /// The key has no default and is not given.
    #[error("missing key")]
    Missing,
    /// The value is malformed or out of range.
    #[error("{value:?} is not {expected}")]
    Invalid {
        /// The value as given.
        value: String,
        /// The expected form.
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
    /// The address is also given by another key, or twice by this one.
    #[error("{address} is used more than once")]
    RepeatedAddress {
        /// The address, as `IP:PORT`.
        address: String,
    },
    /// The data folder doesn't exist or is not a folder.
    #[error("data folder {} does not exist", path.display())]
    MissingFolder {
        /// The value of `[control] data`.
        path: PathBuf,
    },
    /// A file that the value names can't be read.
    #[error("file {} can't be read: {source}", path.display())]
    UnreadableFile {
        /// A file of keys, tokens or client blocks, as the value names it.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file must contain a key or token and has neither.
    #[error("file {} is empty or has only blank lines", path.display())]
    EmptyFile {
        /// The key file or a file of tokens, as the value names it.
        path: PathBuf,
    },
    /// A key of the key file is too short.
    #[error("line {line} of file {} has {len_bytes} bytes, fewer than {min_bytes}", path.display())]
    ShortKey {
        /// The value of `[deployment] key_file`.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
        /// The key's length, without surrounding whitespace.
        len_bytes: usize,
        /// The shortest accepted length.
        min_bytes: usize,
    },
    /// The file of client blocks is malformed.
    #[error("file {}: {source}", path.display())]
    ClientBlocks {
        /// The value of `[entry] client_blocks_file`.
        path: PathBuf,
        /// The first error in it.
        source: Box<BlockError>,
    },
    /// A line of the announcement tokens is malformed.
    #[error("line {line} of file {} is not TOKEN SERVICE[,SERVICE...]", path.display())]
    InvalidToken {
        /// The value of `[entry] announce_tokens_file`.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
    },
}

/// The form and range that a value must have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
pub enum Expected {
    /// A name of 1 to 63 allowed characters.
    #[strum(to_string = "a name (1 to 63 of a-z, 0-9, '-' and '.')")]
    Name,
    /// One of [`Role`](crate::Role).
    #[strum(to_string = "a role (entry, control, both or gateway)")]
    Role,
    /// An IP address and port.
    #[strum(to_string = "an address IP:PORT")]
    Address,
    /// Two IP addresses with ports, separated by whitespace.
    #[strum(to_string = "PEER_ADDRESS HTTP_ADDRESS")]
    AddressPair,
    /// Milliseconds, from 1 to an hour.
    #[strum(to_string = "a number of milliseconds from 1 to 3600000")]
    Milliseconds,
    /// Names, none of them twice.
    #[strum(to_string = "a list of different names separated by commas")]
    NameList,
    /// IP addresses with ports.
    #[strum(to_string = "a list of addresses IP:PORT separated by commas")]
    AddressList,
    /// A whole number from 0 to the largest that the key can hold.
    #[strum(to_string = "a whole number")]
    Count,
    /// A decimal number from 0 to 3 600 000.
    #[strum(to_string = "a decimal number from 0 to 3600000")]
    Decimal,
    /// `true` or `false`.
    #[strum(to_string = "true or false")]
    Flag,
    /// One of [`Interface`](crate::Interface).
    #[strum(to_string = "an interface (native or platform)")]
    Interface,
    /// A path that is not empty.
    #[strum(to_string = "a path")]
    Path,
    /// One of [`LogLevel`](crate::LogLevel).
    #[strum(to_string = "a level (critical, error, warning, info, debug or trace)")]
    Level,
    /// One of [`LogFormat`](crate::LogFormat).
    #[strum(to_string = "a format (text or json)")]
    Format,
}
