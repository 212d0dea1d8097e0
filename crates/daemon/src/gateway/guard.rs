//! Reports each request that the core may hold as in flight to the actor until it has ended.

use crate::gateway::actor::{
    AttemptEnded, ClientLeft, DecisionReply, DeliveryEnded, GatewayActor, NextReply,
    NoticesReceived, RequestArrived,
};
use gate::{Decision, Ending, Failure, Load, NextStep, Notices};
use kameo::actor::ActorRef;
use tokio::sync::oneshot;

/// A client's request that the core may hold as in flight. Dropping it, as when the client closes
/// its connection, sends [`ClientLeft`] unless the request has ended.
#[derive(Debug)]
pub struct RequestGuard {
    actor: ActorRef<GatewayActor>,
    request: u64,
    is_open: bool,
}

impl RequestGuard {
    /// A guard of a request with this ID, which is about to arrive.
    pub const fn new(actor: ActorRef<GatewayActor>, request: u64) -> Self {
        Self {
            actor,
            request,
            is_open: true,
        }
    }

    /// The ID of the request.
    pub const fn request(&self) -> u64 {
        self.request
    }

    /// Submits the request to the core and returns its decision, which may take some time; `None` when
    /// the actor has ended.
    pub async fn admit(&mut self, mut arrival: RequestArrived) -> Option<DecisionReply> {
        let (sender, decided) = oneshot::channel();
        arrival.decided = Some(sender);
        let mut reply = self.actor.ask(arrival).await.ok()?;
        if reply.decision == Decision::Wait {
            reply.decision = decided.await.ok()?;
        }
        self.is_open = matches!(reply.decision, Decision::Forward(_));
        Some(reply)
    }

    /// Reports what the upstream of the current attempt asks for in its answer.
    pub async fn report_notices(&self, notices: Notices) {
        if notices != Notices::default() {
            let request = self.request;
            // Fails only when the actor, and with it what it knows of upstreams, is gone.
            let _ = self.actor.tell(NoticesReceived { request, notices }).await;
        }
    }

    /// Reports the end of an attempt to the core and returns what to do next.
    pub async fn end_attempt(&mut self, ending: Ending, load: Option<Load>) -> NextStep {
        let ended = AttemptEnded {
            request: self.request,
            ending,
            load,
        };
        let next = match self.actor.ask(ended).await {
            Ok(NextReply(next)) => next,
            Err(_) => NextStep::GiveUp(Failure::Unknown),
        };
        self.is_open = matches!(next, NextStep::Retry(_));
        next
    }

    /// Reports the end of an answer whose beginning has gone to the client already.
    pub fn end_delivery(&mut self, ending: Ending, load: Option<Load>) {
        self.is_open = false;
        let ended = DeliveryEnded {
            request: self.request,
            ending,
            load,
        };
        // Fails only when the actor, and with it the request's state, is gone.
        let _ = self.actor.tell(ended).try_send();
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if self.is_open {
            let request = self.request;
            // Fails only when the actor, and with it the request's state, is gone.
            let _ = self.actor.tell(ClientLeft { request }).try_send();
        }
    }
}
