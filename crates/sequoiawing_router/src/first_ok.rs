//! Runs two futures until one of them succeeds.

use std::{
    future::{Future, poll_fn},
    pin::Pin,
    task::Poll,
};

/// The result of the future that succeeded first.
pub(crate) enum Either<A, B> {
    Left(A),
    Right(B),
}

/// Returns the first success, or both errors if neither future succeeds.
pub(crate) async fn first_ok<A, B, E, F, G>(
    mut left: Pin<&mut F>,
    mut right: Pin<&mut G>,
) -> Result<Either<A, B>, (E, E)>
where
    F: Future<Output = Result<A, E>>,
    G: Future<Output = Result<B, E>>,
{
    let mut left_error = None;
    let mut right_error = None;
    poll_fn(|cx| {
        if left_error.is_none() {
            match left.as_mut().poll(cx) {
                Poll::Ready(Ok(a)) => return Poll::Ready(Ok(Either::Left(a))),
                Poll::Ready(Err(e)) => left_error = Some(e),
                Poll::Pending => {}
            }
        }
        if right_error.is_none() {
            match right.as_mut().poll(cx) {
                Poll::Ready(Ok(b)) => return Poll::Ready(Ok(Either::Right(b))),
                Poll::Ready(Err(e)) => right_error = Some(e),
                Poll::Pending => {}
            }
        }
        match (left_error.take(), right_error.take()) {
            (Some(l), Some(r)) => Poll::Ready(Err((l, r))),
            (l, r) => {
                left_error = l;
                right_error = r;
                Poll::Pending
            }
        }
    })
    .await
}
