//! Tests of what a registry keeps about upstreams.

use sequoiawing_fleet::{Pauses, Publisher, Rank, Registry, Renewal, UpdateOutcome, UpstreamState};
use sequoiawing_types::{Name, Time};
use std::time::Duration;

fn state(i: u32, loaded: &[String]) -> UpstreamState {
    UpstreamState {
        name: Name::from(format!("runner-{i}")),
        sequence: 1,
        lifetime: 1_000,
        loaded: loaded.iter().map(|m| Name::from(m.as_str())).collect(),
        ..UpstreamState::default()
    }
}

fn addresses(registry: &Registry) -> Vec<*const u8> {
    let loaded = registry.iter().flat_map(|s| &s.loaded);
    loaded.map(|model| model.as_str().as_ptr()).collect()
}

#[test]
fn upstreams_share_the_names_of_models() {
    let mut registry = Registry::default();
    for i in 0..2 {
        registry.announce(Time::ZERO, state(i, &["caption".to_owned()]));
    }
    let addresses = addresses(&registry);
    assert_eq!(addresses[0], addresses[1]);
}

#[test]
fn upstreams_of_other_data_centres_share_the_names_of_models() {
    let mut registry = Registry::default();
    registry.announce(Time::ZERO, state(0, &["caption".to_owned()]));
    let mut publisher = Publisher::new(Name::from("north"));
    let states = [state(1, &["caption".to_owned()])];
    registry.apply_summary(
        Time::ZERO,
        &publisher.publish(Rank::default(), states.iter()),
    );
    registry.apply_summary(Time::ZERO, &publisher.full_summary());
    let addresses = addresses(&registry);
    assert_eq!(addresses.len(), 2);
    assert_eq!(addresses[0], addresses[1]);
}

/// Announces more names than the threshold at which unused names are removed.
#[test]
fn unused_names_are_removed_and_others_kept() {
    let mut registry = Registry::default();
    registry.announce(Time::ZERO, state(0, &["caption".to_owned()]));
    for i in 0..5_000 {
        let mut state = state(1, &[format!("model-{i}")]);
        state.sequence += i;
        registry.announce(Time::ZERO, state);
    }
    registry.announce(Time::ZERO, state(2, &["caption".to_owned()]));
    let addresses = addresses(&registry);
    assert_eq!(addresses[0], addresses[2]);
}

/// Sends a full announcement for each sequence number and model in `full`, then
/// a renewal, and returns the outcome of the renewal.
fn renew(full: &[(u64, &str)], epoch: u64, base: u64, sequence: u64) -> UpdateOutcome {
    let mut registry = Registry::default();
    for (sequence, model) in full {
        let mut state = state(0, &[(*model).to_owned()]);
        state.sequence = *sequence;
        registry.announce(Time::ZERO, state);
    }
    let renewal = Renewal {
        name: Name::from("runner-0"),
        epoch,
        base,
        sequence,
        running: 5,
        active: Vec::new(),
    };
    let outcome = registry.renew(Time::ZERO, &renewal);
    let running = registry.iter().next().map_or(0, |s| s.running);
    assert_eq!(running == 5, outcome == UpdateOutcome::LoadOnly);
    outcome
}

macro_rules! cases {
    ($($name:ident: $full:expr, $epoch:expr, $base:expr, $sequence:expr => $outcome:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(renew(&$full, $epoch, $base, $sequence), $outcome);
        }
    )*};
}

cases! {
    a_renewal_updates_the_load: [(3, "a")], 0, 3, 4 => UpdateOutcome::LoadOnly;
    a_renewal_after_an_unchanged_announcement_updates_the_load:
        [(3, "a"), (5, "a")], 0, 5, 6 => UpdateOutcome::LoadOnly;
    a_renewal_of_an_unknown_upstream_is_insufficient: [], 0, 3, 4 => UpdateOutcome::Unknown;
    a_renewal_of_another_epoch_is_insufficient: [(3, "a")], 1, 3, 4 => UpdateOutcome::Unknown;
    a_renewal_after_a_missed_announcement_is_insufficient:
        [(3, "a")], 0, 5, 6 => UpdateOutcome::Unknown;
    a_late_renewal_is_stale: [(3, "a"), (5, "b")], 0, 3, 4 => UpdateOutcome::Stale;
    a_renewal_based_on_a_replaced_version_is_stale:
        [(3, "a"), (5, "b")], 0, 3, 6 => UpdateOutcome::Stale;
}

#[test]
fn taken_changes_list_changed_and_removed_upstreams_but_not_loads() {
    let mut registry = Registry::default();
    let names = |registry: &mut Registry| {
        let changes = registry.take_changes().into_iter();
        changes
            .map(|(name, known)| (name.to_string(), known.is_some()))
            .collect::<Vec<_>>()
    };
    let own = ("runner-0".to_owned(), true);
    registry.announce(Time::ZERO, state(0, &["caption".to_owned()]));
    assert_eq!(names(&mut registry), [own]);
    let mut same = state(0, &["caption".to_owned()]);
    (same.sequence, same.running) = (2, 3);
    registry.announce(Time::ZERO, same);
    assert_eq!(names(&mut registry), []);
    let mut publisher = Publisher::new(Name::from("north"));
    let remote = [state(1, &[])];
    registry.apply_summary(
        Time::ZERO,
        &publisher.publish(Rank { term: 1, start: 1 }, remote.iter()),
    );
    assert_eq!(names(&mut registry), [("runner-1".to_owned(), true)]);
    registry.expire(Time::ZERO + Duration::from_hours(1));
    let gone = ["runner-0", "runner-1"].map(|name| (name.to_owned(), false));
    assert_eq!(names(&mut registry), gone);
}

const TICK: Duration = Duration::from_millis(50);

/// A router whose timer expires upstreams.
struct Ticking {
    registry: Registry,
    pauses: Pauses,
    now: Time,
}

impl Ticking {
    /// Returns a registry with an upstream of its data centre and one of another.
    fn new() -> Self {
        let mut registry = Registry::default();
        registry.announce(Time::ZERO, state(0, &[]));
        let mut publisher = Publisher::new(Name::from("north"));
        let remote = [state(1, &[])];
        registry.apply_summary(
            Time::ZERO,
            &publisher.publish(Rank { term: 1, start: 1 }, remote.iter()),
        );
        Self {
            registry,
            pauses: Pauses::new(Time::ZERO, TICK),
            now: Time::ZERO,
        }
    }

    /// Fires the timer after a time and returns the upstreams that expired.
    fn tick_after(&mut self, elapsed: Duration) -> Vec<Name> {
        self.now = self.now + elapsed;
        let pause = self.pauses.tick(self.now);
        self.registry.extend(self.now, pause);
        let expired = self.registry.expire(self.now).into_iter();
        expired.map(|s| s.name.clone()).collect()
    }

    /// Fires the timer without delay and returns when the first upstream expires.
    fn time_to_expiry(&mut self) -> Duration {
        let from = self.now;
        while self.tick_after(TICK).is_empty() {
            assert!(!self.registry.is_empty(), "the upstreams are gone already");
        }
        self.now.since(from)
    }
}

/// Guards against a router that removed every upstream after it had not run for
/// longer than a lifetime, while their announcements waited in its sockets.
#[test]
fn a_pause_of_the_router_itself_expires_no_upstream() {
    let mut router = Ticking::new();
    router.tick_after(TICK);
    assert_eq!(router.tick_after(Duration::from_hours(1)), []);
    assert_eq!(router.registry.len(), 2);
}

#[test]
fn an_upstream_silent_after_a_pause_expires_at_the_end_of_its_remaining_lifetime() {
    let mut router = Ticking::new();
    for _ in 0..8 {
        router.tick_after(TICK);
    }
    router.tick_after(Duration::from_hours(1));
    let remaining = Duration::from_millis(550);
    assert_eq!(router.time_to_expiry(), remaining);
}

#[test]
fn a_pause_does_not_extend_what_was_announced_after_it() {
    let mut router = Ticking::new();
    let resumed = Time::ZERO + Duration::from_hours(1);
    let mut renewed = state(0, &[]);
    renewed.sequence = 2;
    router.registry.announce(resumed, renewed);
    router.tick_after(Duration::from_hours(1));
    assert_eq!(router.time_to_expiry(), Duration::from_secs(1));
}

#[test]
fn an_upstream_that_is_silent_while_the_router_runs_expires() {
    let mut router = Ticking::new();
    assert_eq!(router.time_to_expiry(), Duration::from_secs(1));
}
