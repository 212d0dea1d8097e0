//! The encoded form of large answers to gateways, kept while the core may give them again.

use crate::control::{
    convert::{self, ConvertError},
    metrics::ControlMetrics,
};
use control::GatewayPollAnswer;
use std::sync::Arc;
use wire::peer::FollowAnswer;

/// The answers that the core keeps too, each with its encoded form.
#[derive(Debug, Default)]
pub struct EncodedAnswers {
    answers: Vec<(Arc<GatewayPollAnswer>, FollowAnswer)>,
}

impl EncodedAnswers {
    /// The encoded form of an answer, which is computed once.
    ///
    /// # Errors
    ///
    /// When the answer can't be encoded.
    pub fn encode(
        &mut self,
        answer: &Arc<GatewayPollAnswer>,
        metrics: &ControlMetrics,
    ) -> Result<FollowAnswer, ConvertError> {
        metrics.large_answers.inc();
        let known = self.answers.iter().find(|(it, _)| Arc::ptr_eq(it, answer));
        if let Some((_, encoded)) = known {
            return Ok(encoded.clone());
        }
        metrics.encoded_large_answers.inc();
        let encoded = convert::gateway_poll_answer(answer)?;
        self.answers.push((Arc::clone(answer), encoded.clone()));
        Ok(encoded)
    }

    /// Drops the answers that only this owns: the core doesn't give them again.
    pub fn expire(&mut self) {
        self.answers
            .retain(|(answer, _)| Arc::strong_count(answer) > 1);
    }
}
