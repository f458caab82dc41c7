use serde::{Deserialize, Serialize};
use std::{
    ops::{Deref, DerefMut},
    sync::Arc,
};

/// A copy-on-write part of the tables.
///
/// The tables are copied for each change. Copies share the parts that they do
/// not modify; otherwise each change would cost a full copy, as
/// docs/CAPACITY.md shows.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(transparent)]
pub struct Shared<T>(Arc<T>);

impl<T> Shared<T> {
    /// Returns a reference-counted handle that may outlive the tables.
    pub fn to_arc(&self) -> Arc<T> {
        self.0.clone()
    }
}

impl<T> From<T> for Shared<T> {
    fn from(value: T) -> Self {
        Self(Arc::new(value))
    }
}

impl<T> Deref for Shared<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.0
    }
}

impl<T> DerefMut for Shared<T>
where
    T: Clone,
{
    fn deref_mut(&mut self) -> &mut T {
        Arc::make_mut(&mut self.0)
    }
}

impl<T, U> FromIterator<U> for Shared<T>
where
    T: FromIterator<U>,
{
    fn from_iter<I>(items: I) -> Self
    where
        I: IntoIterator<Item = U>,
    {
        Self::from(items.into_iter().collect::<T>())
    }
}
