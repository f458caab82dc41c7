//! Tests of requests as callers see them, with routers, a controller and
//! stand-in upstreams in one process on loopback.

mod callers;
mod fleet;
mod idempotency;
mod joins;
mod keys;
mod load;
mod odd_answers;
mod refusals;
mod scripted;
mod stopping;
mod streams;
mod upstreams;

/// Defines a test for each case and runs it on the executor.
macro_rules! cases {
    ($($name:ident $body:block)*) => {
        $(
            #[test]
            fn $name() {
                sequoiawing::runtime::run(async $body);
            }
        )*
    };
}

pub(crate) use cases;
