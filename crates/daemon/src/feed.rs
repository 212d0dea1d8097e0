//! Tasks that feed an actor: with the events of its links and with the passing of time.

use kameo::{actor::ActorRef, message::Message};
use link::Event;
use std::time::Duration;
use tokio::{
    sync::mpsc,
    time::{MissedTickBehavior, interval},
};

/// Hands each event of the links to the actor, until the actor has ended.
pub async fn pass_events<A, M>(
    mut events: mpsc::Receiver<Event>,
    actor: ActorRef<A>,
    message: fn(Event) -> M,
) where
    A: Message<M>,
    M: Send + 'static,
{
    while let Some(event) = events.recv().await {
        if actor.tell(message(event)).await.is_err() {
            return;
        }
    }
}

/// Tells the actor that time has passed, once a period, until the actor has ended.
pub async fn tick<A, M>(actor: ActorRef<A>, period: Duration, message: M)
where
    A: Message<M>,
    M: Clone + Send + 'static,
{
    let mut ticks = interval(period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if actor.tell(message.clone()).await.is_err() {
            return;
        }
    }
}
