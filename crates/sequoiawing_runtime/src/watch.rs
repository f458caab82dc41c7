use event_listener::Event;
use parking_lot::Mutex;
use std::sync::Arc;

/// A shared value whose readers can wait for changes.
///
/// Clones share the value.
#[derive(Debug, Default)]
pub struct Watch<T> {
    inner: Arc<Inner<T>>,
}

#[derive(Debug, Default)]
struct Inner<T> {
    value: Mutex<T>,
    changed: Event,
}

impl<T> Watch<T>
where
    T: Clone,
{
    /// Creates a watch with an initial value.
    pub fn new(value: T) -> Self {
        let value = Mutex::new(value);
        let changed = Event::new();
        let inner = Arc::new(Inner { value, changed });
        Self { inner }
    }

    /// Returns a copy of the value.
    pub fn get(&self) -> T {
        self.inner.value.lock().clone()
    }

    /// Replaces the value and wakes all waiting tasks.
    pub fn set(&self, value: T) {
        *self.inner.value.lock() = value;
        self.inner.changed.notify(usize::MAX);
    }

    /// Waits until the value satisfies `condition`, and returns a copy of it.
    pub async fn wait_until<F>(&self, condition: F) -> T
    where
        F: Fn(&T) -> bool,
    {
        loop {
            let listener = self.inner.changed.listen();
            let value = self.get();
            if condition(&value) {
                return value;
            }
            listener.await;
        }
    }
}

impl<T> Clone for Watch<T> {
    fn clone(&self) -> Self {
        let inner = self.inner.clone();
        Self { inner }
    }
}
