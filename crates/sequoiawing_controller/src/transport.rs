use async_channel::{Receiver, Sender};
use sequoiawing_consensus::Envelope;
use sequoiawing_link::{ControlClient, Secret, Stub, Translations};
use sequoiawing_runtime::{Shutdown, sleep, spawn};
use std::{collections::HashMap, net::SocketAddr, time::Duration};

/// The maximum number of messages queued for one controller. Further messages are
/// dropped: the log tolerates message loss.
const MAX_QUEUED: usize = 1_024;

/// The maximum number of messages in one call.
const MAX_BATCH: usize = 128;

/// The timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The delay between a failed call and the next one.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Sends messages to other controllers over one connection per controller.
pub(crate) struct Transport {
    secret: Secret,
    translations: Translations,
    shutdown: Shutdown,
    queues: HashMap<SocketAddr, Sender<Envelope>>,
}

impl Transport {
    pub(crate) fn new(secret: Secret, translations: Translations, shutdown: Shutdown) -> Self {
        Self {
            secret,
            translations,
            shutdown,
            queues: HashMap::new(),
        }
    }

    /// Queues a message, or drops it if the queue is full.
    pub(crate) fn send(&mut self, to: SocketAddr, envelope: Envelope) {
        let queue = self.queues.entry(to).or_insert_with(|| {
            let (sender, receiver) = async_channel::bounded(MAX_QUEUED);
            let stub = Stub::new(self.translations.translate(to), self.secret.clone());
            let shutdown = self.shutdown.clone();
            let sender_task = async move { shutdown.or(send_all(stub, receiver)).await };
            spawn(sender_task).detach();
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
        let call = stub.call(CALL_TIMEOUT, |client, context| async move {
            client.deliver(context, batch).await
        });
        if let Err(error) = Box::pin(call).await {
            log::debug!(target: "controller", "Failed to send a batch of messages to another controller: {error}.");
            sleep(RETRY_DELAY).await;
        }
    }
}
