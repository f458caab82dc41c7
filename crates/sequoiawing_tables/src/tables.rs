use crate::{
    Allotments, CellEpoch, Change, Claim, ClaimId, ClaimState, Command, Customer, Departures,
    Evacuations, Key, KeyId, Outcome, Pool, Route, RouterHost, Shared, Store, check::check_tables,
    claims::Claims,
};
use sequoiawing_budget::Watermark;
use sequoiawing_catalog::{Catalog, Document};
use sequoiawing_types::{Findings, Name, Ran, RequestId};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    fmt,
    sync::Arc,
};

/// A version of the tables, incremented by each accepted edit, membership change
/// and configuration, but not by departures, claims, allotments and watermarks.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "r{}", self.0)
    }
}

/// The number of recent edits whose outcomes are kept to answer resends.
const MAX_RECENT_EDITS: usize = 4_096;

/// The number of recent revisions whose changes are kept. A follower that is
/// further behind receives the full tables.
const MAX_RECENT_REVISIONS: usize = 512;

/// The replicated state that all routers work from.
///
/// Copies share the maps that they do not modify.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Tables {
    /// The version of everything below except the claims.
    pub revision: Revision,
    /// The customers by name.
    pub customers: Shared<BTreeMap<Name, Customer>>,
    /// The pools by name.
    pub pools: Shared<BTreeMap<Name, Pool>>,
    /// The routes by name.
    pub routes: Shared<BTreeMap<Name, Route>>,
    /// The capacity limits of the weight store.
    pub store: Store,
    /// The granted keys by identifier.
    pub keys: Shared<BTreeMap<KeyId, Key>>,
    /// The withdrawn keys. Keys are never removed from this set.
    pub withdrawn: Shared<BTreeSet<KeyId>>,
    /// The upstreams that operators have drained, which receive no new requests.
    pub drained: BTreeSet<Name>,
    /// The hosts that run routers by name.
    pub hosts: Shared<BTreeMap<Name, RouterHost>>,
    /// The membership epoch of each data centre's cell.
    pub cells: BTreeMap<Name, CellEpoch>,
    /// The active configuration, if there is one; see [`Tables::catalog`].
    catalog: Arc<Catalog>,
    /// Whether there is a configuration. Builds that took version zero for none did not
    /// store this.
    is_configured: bool,
    /// The data centres whose upstreams must receive no requests.
    pub evacuations: Evacuations,
    /// The upstreams that leave or have left.
    pub departures: Departures,
    /// The source text of the configuration, as sent by the operator.
    text: Arc<str>,
    #[serde(with = "pairs")]
    allotments: BTreeMap<(Name, Name), Allotments>,
    claims: Claims,
    budget_term: u64,
    budgets: BTreeMap<Name, Watermark>,
    clock: u64,
    edits: VecDeque<(RequestId, Outcome)>,
    recent: VecDeque<Arc<[Change]>>,
}

/// An update that brings a follower to a newer revision.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Update {
    /// The changes of each revision after `base`, in order.
    Changes {
        /// The follower's revision.
        base: Revision,
        /// The changes of each revision.
        revisions: Vec<Arc<[Change]>>,
    },
    /// The full tables, for a follower that is too far behind.
    #[serde(rename = "whole")]
    Full(Box<Tables>),
}

impl Tables {
    /// Applies a committed command.
    pub fn apply(&mut self, command: Command) -> Outcome {
        match command {
            Command::Edit {
                request,
                base,
                changes,
            } => self.edit(request, base, changes),
            Command::Join(host) => self.join(host),
            Command::Retire { host, dead } => self.retire(&host, dead),
            Command::SettleCell { centre, epoch } => self.settle_cell(centre, epoch),
            Command::Allot {
                pool,
                model,
                centre,
                term,
                serial,
                want,
            } => {
                let limit = self.replica_limit(&pool, &model);
                let allotments = self.allotments.entry((pool, model)).or_default();
                Outcome::Allotted(allotments.set(centre, (term, serial), want, limit))
            }
            Command::MarkBudgets { term, marks } => {
                Outcome::Marked(self.set_watermarks(term, marks))
            }
            Command::Replace(document) => self.replace(document),
            Command::Evacuate { centre, begin } => self.evacuate(centre, begin),
            Command::Depart {
                upstream,
                departure,
                now,
            } => self.depart(upstream, departure, now),
            Command::Claim { id, claim, now } => self.claim(id, claim, now),
            Command::Settle { id, attempt, state } => self.settle(&id, &attempt, state),
        }
    }

    /// Returns a copy with only the parts that routers need, without departures,
    /// claims, allotments and recent edits.
    #[must_use]
    pub fn published(&self) -> Self {
        Self {
            revision: self.revision,
            customers: self.customers.clone(),
            pools: self.pools.clone(),
            routes: self.routes.clone(),
            store: self.store.clone(),
            keys: self.keys.clone(),
            withdrawn: self.withdrawn.clone(),
            drained: self.drained.clone(),
            hosts: self.hosts.clone(),
            cells: self.cells.clone(),
            catalog: self.catalog.clone(),
            is_configured: self.is_configured,
            evacuations: self.evacuations.clone(),
            ..Self::default()
        }
    }

    /// Returns whether the key has been withdrawn.
    pub fn is_withdrawn(&self, key: &KeyId) -> bool {
        self.withdrawn.contains(key)
    }

    /// Returns the matching route with the longest prefix. Routes with a host
    /// take precedence over routes without one.
    pub fn route_for(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let matching = self.routes.values().filter(|r| r.matches(name, path));
        matching.max_by_key(|r| (!r.host.is_empty(), r.prefix.len()))
    }

    /// Validates the tables and returns all findings.
    pub fn check(&self) -> Findings {
        check_tables(self)
    }

    /// Returns the active configuration; `None` before the first one.
    pub fn catalog(&self) -> Option<&Arc<Catalog>> {
        let is_configured = self.is_configured || self.catalog.version > 0;
        is_configured.then_some(&self.catalog)
    }

    /// Returns the active configuration with its source text; `None` before the first one.
    pub fn document(&self) -> Option<Document> {
        let catalog = self.catalog()?.clone();
        let text = self.text.clone();
        Some(Document { catalog, text })
    }

    /// Replaces the configuration, unless the current version is the same or
    /// newer.
    fn replace(&mut self, document: Document) -> Outcome {
        let current = self.catalog().map(|catalog| catalog.version);
        if current.is_none_or(|current| document.catalog.version > current) {
            let Document { catalog, text } = document;
            self.commit(vec![Change::PutCatalog(catalog)]);
            // Otherwise hundreds of old configurations would be kept for
            // followers that are behind. These receive the full tables.
            self.recent.clear();
            self.text = text;
        }
        Outcome::Replaced(self.catalog.version)
    }

    /// Drops the changes of recent revisions, so that followers receive the full tables.
    pub(crate) fn clear_recent(&mut self) {
        self.recent.clear();
    }

    fn edit(
        &mut self,
        request: RequestId,
        base: Option<Revision>,
        changes: Vec<Change>,
    ) -> Outcome {
        if let Some((_, outcome)) = self.edits.iter().find(|(id, _)| *id == request) {
            return outcome.clone();
        }
        let outcome = self.try_edit(base, changes);
        self.edits.push_back((request, outcome.clone()));
        if self.edits.len() > MAX_RECENT_EDITS {
            self.edits.pop_front();
        }
        outcome
    }

    fn try_edit(&mut self, base: Option<Revision>, changes: Vec<Change>) -> Outcome {
        let current = self.revision;
        if let Some(base) = base.filter(|b| *b != current) {
            return Outcome::Conflict { base, current };
        }
        let mut next = self.published();
        let mut findings = Findings::default();
        for change in &changes {
            if change.is_internal() {
                findings.push(
                    "changes",
                    "hosts are joined and retired by calls of their own",
                );
                continue;
            }
            next.apply_change(change.clone(), &mut findings);
        }
        findings.extend(next.check());
        if !findings.is_empty() {
            return Outcome::Invalid(findings);
        }
        self.commit(changes)
    }

    /// Applies validated changes as the next revision.
    pub(crate) fn commit<C>(&mut self, changes: C) -> Outcome
    where
        C: Into<Arc<[Change]>>,
    {
        let changes = changes.into();
        let mut findings = Findings::default();
        for change in changes.iter() {
            self.apply_change(change.clone(), &mut findings);
        }
        debug_assert!(
            findings.is_empty(),
            "committed changes are invalid: {findings}"
        );
        self.revision = Revision(self.revision.0 + 1);
        self.recent.push_back(changes);
        if self.recent.len() > MAX_RECENT_REVISIONS {
            self.recent.pop_front();
        }
        Outcome::Accepted(self.revision)
    }

    /// Returns the update from `revision` to the current revision, or `None` if
    /// `revision` is not older.
    pub fn update_from(&self, revision: Revision) -> Option<Update> {
        let behind = self.revision.0.checked_sub(revision.0).filter(|b| *b > 0)?;
        let available = self.recent.len();
        let behind = usize::try_from(behind).ok().filter(|b| *b <= available);
        let Some(behind) = behind else {
            return Some(Update::Full(Box::new(self.published())));
        };
        let newer = self.recent.iter().skip(available - behind);
        Some(Update::Changes {
            base: revision,
            revisions: newer.cloned().collect(),
        })
    }

    /// Applies an update to a follower's copy.
    ///
    /// Full tables that are not newer and changes based on another revision are
    /// ignored.
    pub fn apply_update(&mut self, update: Update) {
        match update {
            Update::Full(tables) if tables.revision > self.revision => *self = *tables,
            Update::Full(_) => {}
            Update::Changes { base, .. } if base != self.revision => {}
            Update::Changes { revisions, .. } => {
                for changes in revisions {
                    self.commit(changes);
                }
            }
        }
    }

    fn apply_change(&mut self, change: Change, findings: &mut Findings) {
        match change {
            Change::PutCustomer(c) => {
                self.customers.insert(c.name.clone(), c);
            }
            Change::PutPool(p) => {
                self.pools.insert(p.name.clone(), p);
            }
            Change::PutRoute(r) => {
                self.routes.insert(r.name.clone(), r);
            }
            Change::DeleteCustomer(name) => {
                let removed = self.customers.remove(&name);
                check_removed(removed.is_some(), findings, "customers", &name);
            }
            Change::DeletePool(name) => {
                let removed = self.pools.remove(&name);
                check_removed(removed.is_some(), findings, "pools", &name);
            }
            Change::DeleteRoute(name) => {
                let removed = self.routes.remove(&name);
                check_removed(removed.is_some(), findings, "routes", &name);
            }
            Change::PutStore(store) => self.store = store,
            Change::GrantKey(key) => self.grant_key(key, findings),
            Change::WithdrawKey(id) => {
                self.keys.remove(&id);
                self.withdrawn.insert(id);
            }
            Change::Drain(upstream) => {
                self.drained.insert(upstream);
            }
            Change::Undrain(upstream) => {
                self.drained.remove(&upstream);
            }
            Change::PutHost(host) => self.put_host(host),
            Change::DeleteHost(host) => {
                let removed = self.delete_host(&host);
                check_removed(removed, findings, "hosts", &host);
            }
            Change::SettleCell { centre, epoch } => self.mark_settled(centre, epoch),
            Change::PutCatalog(catalog) => {
                self.catalog = catalog;
                self.is_configured = true;
            }
        }
    }

    fn grant_key(&mut self, key: Key, findings: &mut Findings) {
        let was_granted = self.keys.contains_key(&key.id) || self.withdrawn.contains(&key.id);
        if was_granted {
            findings.push(format!("keys.{}", key.id), "was granted before");
            return;
        }
        self.keys.insert(key.id.clone(), key);
    }

    /// Returns the allotments of a model by data centre.
    pub fn allotments(&self, pool: &Name, model: &Name) -> Option<&Allotments> {
        self.allotments.get(&(pool.clone(), model.clone()))
    }

    /// Returns the number of stored claims.
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }

    /// Returns the watermarks of all budgets that credit was ever lent from.
    pub fn watermarks(&self) -> &BTreeMap<Name, Watermark> {
        &self.budgets
    }

    /// Sets the watermarks, unless an owner with a later term has set its own.
    fn set_watermarks(&mut self, term: u64, marks: BTreeMap<Name, Watermark>) -> bool {
        if term < self.budget_term {
            return false;
        }
        self.budget_term = term;
        self.budgets.extend(marks);
        true
    }

    /// Revokes all allotments of a data centre.
    pub(crate) fn revoke_allotments(&mut self, centre: &Name) {
        for allotments in self.allotments.values_mut() {
            allotments.revoke(centre);
        }
    }

    fn replica_limit(&self, pool: &Name, model: &Name) -> u32 {
        let configured = self.pools.get(pool).and_then(|p| p.model(model.as_str()));
        configured.map_or(0, |m| m.replicas)
    }

    /// Advances the log's clock to `now`, in seconds; returns whether that is later than it
    /// was.
    pub(crate) fn advance_clock(&mut self, now: u64) -> bool {
        let is_later = now > self.clock;
        self.clock = self.clock.max(now);
        is_later
    }

    /// Returns the log's clock, in seconds.
    pub(crate) fn clock(&self) -> u64 {
        self.clock
    }

    fn claim(&mut self, id: ClaimId, claim: Claim, now: u64) -> Outcome {
        self.advance_clock(now);
        let clock = self.clock;
        let is_active = |c: &&Claim| c.expiry > clock && c.state != ClaimState::Ended(Ran::No);
        if let Some(held) = self.claims.get(&id).filter(is_active) {
            if held.attempt == claim.attempt {
                return Outcome::Claimed;
            }
            return Outcome::Taken(held.clone());
        }
        self.claims.expire(clock);
        self.claims.insert(id, claim);
        Outcome::Claimed
    }

    fn settle(&mut self, id: &ClaimId, attempt: &str, state: ClaimState) -> Outcome {
        let held = self.claims.get_mut(id).filter(|c| c.attempt == attempt);
        if let Some(claim) = held {
            claim.state = state;
        }
        Outcome::Settled
    }
}

fn check_removed(removed: bool, findings: &mut Findings, table: &str, name: &Name) {
    if !removed {
        findings.push(format!("{table}.{name}"), "does not exist");
    }
}

/// Serializes a map with structured keys as a list of pairs, since JSON object
/// keys must be strings.
mod pairs {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};
    use std::collections::BTreeMap;

    pub(super) fn serialize<K, V, S>(map: &BTreeMap<K, V>, serializer: S) -> Result<S::Ok, S::Error>
    where
        K: Serialize,
        V: Serialize,
        S: Serializer,
    {
        let pairs: Vec<(&K, &V)> = map.iter().collect();
        pairs.serialize(serializer)
    }

    pub(super) fn deserialize<'de, K, V, D>(deserializer: D) -> Result<BTreeMap<K, V>, D::Error>
    where
        K: Deserialize<'de> + Ord,
        V: Deserialize<'de>,
        D: Deserializer<'de>,
    {
        let pairs = Vec::<(K, V)>::deserialize(deserializer)?;
        Ok(pairs.into_iter().collect())
    }
}
