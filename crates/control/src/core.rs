//! The control replica.

use crate::api::{ControlConfig, ControlError, Input, Output};
use raft::Restored;
use types::TimeUs;

/// A control replica without input or output.
#[derive(Debug)]
pub struct Control {
    config: ControlConfig,
}

impl Control {
    /// A replica with what the shell read back from its data folder.
    ///
    /// # Errors
    ///
    /// [`ControlError`] when the snapshot is not readable.
    pub fn new(
        config: ControlConfig,
        restored: Restored,
        now_us: TimeUs,
    ) -> Result<Self, ControlError> {
        let _ = (restored, now_us);
        Ok(Self { config })
    }

    /// Takes an event at a time of the process's clock.
    pub fn step(&mut self, now_us: TimeUs, input: Input, outputs: &mut Vec<Output>) {
        let _ = (now_us, input, outputs, &self.config);
    }
}
