//! Tasks that send an actor the events of its links and periodic ticks.

use kameo::{actor::ActorRef, message::Message};
use link::Event;
use std::time::Duration;
use tokio::{
    sync::mpsc,
    time::{MissedTickBehavior, interval},
};

/// Sends each link event to the actor, until the actor or the channel has ended.
pub async fn forward_events<A, M>(
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

/// Sends `message` to the actor once per period, until the actor has ended. After a delay, missed
/// ticks are not made up for.
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
