//! Tests of merging the replies of several routers.

use crate::samples::upstream;
use sequoiawing_ctl::{Report, UpstreamList};
use sequoiawing_types::Name;

#[test]
fn the_newest_announcement_counts() {
    let old = upstream("runner-1", "captions");
    let mut new = old.clone();
    new.sequence = 9;
    new.leaving = true;
    let mut restarted = upstream("runner-2", "captions");
    restarted.epoch = 2;
    restarted.loading = vec![Name::from("translate")];
    let late = upstream("runner-2", "captions");
    let list = UpstreamList::merge([vec![new, late], vec![old, restarted]]);
    insta::assert_snapshot!(list.text());
}
