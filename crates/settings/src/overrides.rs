//! Keys that the command line sets in place of the settings file.

use ini::Ini;
use std::str::FromStr;
use thiserror::Error;

/// A key of the settings with its value, written `SECTION.KEY=VALUE`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Override {
    section: String,
    key: String,
    value: String,
}

/// The text is not of the form `SECTION.KEY=VALUE`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("expected SECTION.KEY=VALUE")]
pub struct OverrideError;

impl FromStr for Override {
    type Err = OverrideError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (name, value) = text.split_once('=').ok_or(OverrideError)?;
        let (section, key) = name.split_once('.').ok_or(OverrideError)?;
        if section.is_empty() || key.is_empty() {
            return Err(OverrideError);
        }
        Ok(Self {
            section: section.to_owned(),
            key: key.to_owned(),
            value: value.to_owned(),
        })
    }
}

impl Override {
    /// Sets the key, which is then checked like one of the file.
    pub(crate) fn apply(&self, ini: &mut Ini) {
        ini.with_section(Some(self.section.as_str()))
            .set(self.key.as_str(), self.value.as_str());
    }
}
