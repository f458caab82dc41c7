use async_channel::{Receiver, Sender};
use sequoiawing_consensus::Envelope;
use sequoiawing_link::{ControlClient, Secret, Stub, Translations};
use sequoiawing_runtime::{Shutdown, sleep, spawn};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

/// The maximum number of messages queued for one controller. Further messages are
/// dropped: the log tolerates message loss.
const MAX_QUEUED: usize = 1_024;

/// The maximum size of the entries and chunks queued for one controller, in bytes.
/// It is reached while that controller takes nothing.
const MAX_QUEUED_BYTES: usize = 4 * 1024 * 1024;

/// The size of the entries and chunks after which a call takes no more messages, in
/// bytes. A call is encoded as a whole, and heartbeats behind it wait for it.
const MAX_CALL_BYTES: usize = 512 * 1024;

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
    queues: HashMap<SocketAddr, Queue>,
}

/// The messages that wait for one controller.
struct Queue {
    sender: Sender<Envelope>,
    /// The size of their entries and chunks, in bytes.
    bytes: Arc<AtomicUsize>,
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
            let bytes = Arc::<AtomicUsize>::default();
            let sending = send_all(stub, receiver, bytes.clone());
            spawn(async move { shutdown.or(sending).await }).detach();
            Queue { sender, bytes }
        });
        let size = envelope.message.payload_bytes();
        let queued = queue.bytes.load(Ordering::Relaxed);
        // A single entry may be larger than the limit.
        if size > 0 && queued > 0 && queued + size > MAX_QUEUED_BYTES {
            return;
        }
        queue.bytes.fetch_add(size, Ordering::Relaxed);
        if queue.sender.try_send(envelope).is_err() {
            queue.bytes.fetch_sub(size, Ordering::Relaxed);
        }
    }
}

async fn send_all(stub: Stub<ControlClient>, queue: Receiver<Envelope>, queued: Arc<AtomicUsize>) {
    while let Ok(first) = queue.recv().await {
        let mut size = first.message.payload_bytes();
        let mut batch = vec![first];
        while batch.len() < MAX_BATCH && size < MAX_CALL_BYTES {
            let Ok(next) = queue.try_recv() else {
                break;
            };
            size += next.message.payload_bytes();
            batch.push(next);
        }
        queued.fetch_sub(size, Ordering::Relaxed);
        let call = stub.call(CALL_TIMEOUT, |client, context| async move {
            client.deliver(context, batch).await
        });
        if let Err(error) = Box::pin(call).await {
            log::debug!(target: "controller", "Failed to send a batch of messages to another controller: {error}.");
            sleep(RETRY_DELAY).await;
        }
    }
}
