use async_channel::{Receiver, Sender};
use sequoiawing_consensus::Envelope;
use sequoiawing_link::{ControlClient, Secret, Stub, Translations};
use sequoiawing_runtime::{Shutdown, sleep, spawn};
use std::{collections::HashMap, net::SocketAddr, time::Duration};

/// The messages that may wait for one controller; more are dropped, as the log
/// expects of a network.
const MAX_WAITING: usize = 1_024;

/// The messages that one call carries.
const MAX_BATCH: usize = 128;

/// How long one call may take.
const CALL_LIMIT: Duration = Duration::from_secs(1);

/// How long no call is made after one failed.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Sends messages to other controllers, each over a connection of its own.
pub(crate) struct Outbox {
    secret: Secret,
    translations: Translations,
    shutdown: Shutdown,
    queues: HashMap<SocketAddr, Sender<Envelope>>,
}

impl Outbox {
    pub(crate) fn new(secret: Secret, translations: Translations, shutdown: Shutdown) -> Self {
        Self {
            secret,
            translations,
            shutdown,
            queues: HashMap::new(),
        }
    }

    /// Queues a message, or drops it when too many wait.
    pub(crate) fn send(&mut self, to: SocketAddr, envelope: Envelope) {
        let queue = self.queues.entry(to).or_insert_with(|| {
            let (sender, receiver) = async_channel::bounded(MAX_WAITING);
            let stub = Stub::new(self.translations.translate(to), self.secret.clone());
            let shutdown = self.shutdown.clone();
            let sending = async move { shutdown.or(send_all(stub, receiver)).await };
            spawn(sending).detach();
            sender
        });
        queue.try_send(envelope).ok();
    }
}

async fn send_all(stub: Stub<ControlClient>, queue: Receiver<Envelope>) {
    while let Ok(first) = queue.recv().await {
        let mut batch = vec![first];
        while batch.len() < MAX_BATCH {
            let Ok(next) = queue.try_recv() else {
                break;
            };
            batch.push(next);
        }
        let call = stub.call(CALL_LIMIT, |client, context| async move {
            client.deliver(context, batch).await
        });
        if let Err(error) = Box::pin(call).await {
            log::debug!(target: "controller", "Messages were lost: {error}.");
            sleep(RETRY_PAUSE).await;
        }
    }
}
