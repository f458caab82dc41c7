use sequoiawing_types::Name;

/// The models to evict to make room for another.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Victims {
    pub(super) models: Vec<Name>,
    /// The total value of the models.
    pub(super) value: f64,
}

/// Chooses the models of least value that together free `needed` megabytes.
///
/// `held` lists names, sizes in megabytes and values. Returns `None` if
/// evicting all of them does not suffice.
pub(super) fn choose(mut held: Vec<(Name, u64, f64)>, needed: u64) -> Option<Victims> {
    held.sort_by(|a, b| a.2.total_cmp(&b.2).then(b.1.cmp(&a.1)));
    let mut victims = Victims::default();
    let mut freed = 0;
    for (name, size, value) in &held {
        if freed >= needed {
            break;
        }
        freed += size;
        victims.value += value;
        victims.models.push(name.clone());
    }
    if freed < needed {
        return None;
    }
    // A single model of sufficient size may be worth less than several small
    // ones.
    let single = held.iter().filter(|(_, size, _)| *size >= needed);
    let single = single.min_by(|a, b| a.2.total_cmp(&b.2));
    match single {
        Some((name, _, value)) if needed > 0 && *value <= victims.value => Some(Victims {
            models: vec![name.clone()],
            value: *value,
        }),
        _ => Some(victims),
    }
}
