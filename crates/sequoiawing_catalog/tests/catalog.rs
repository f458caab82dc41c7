//! What a catalog accepts and how requests are looked up in it.

use sequoiawing_catalog::{
    Catalog, CatalogCustomer, CatalogIndex, CatalogPool, CatalogRoute, Target,
};
use sequoiawing_types::Name;
use std::{collections::BTreeMap, sync::Arc};

fn route(name: &str, host: &str, prefix: &str) -> CatalogRoute {
    CatalogRoute {
        name: Name::from(name),
        host: Name::from(host),
        prefix: Name::from(prefix),
        timeout: 1_000,
        targets: vec![target("captions", 1)],
        ..CatalogRoute::default()
    }
}

fn target(pool: &str, weight: u64) -> Target {
    Target {
        pool: Name::from(pool),
        weight,
    }
}

fn client(name: &str, keys: &[&str]) -> CatalogCustomer {
    CatalogCustomer {
        name: Name::from(name),
        keys: keys.iter().map(|k| Arc::from(*k)).collect(),
        ..CatalogCustomer::default()
    }
}

fn catalog(routes: Vec<CatalogRoute>, customers: Vec<CatalogCustomer>) -> Catalog {
    Catalog {
        version: 1,
        routes,
        customers,
        pools: vec![CatalogPool {
            name: Name::from("captions"),
            ..CatalogPool::default()
        }],
        ..Catalog::default()
    }
}

macro_rules! findings {
    ($($name:ident: $catalog:expr => [$($place:literal),*];)*) => {$(
        #[test]
        fn $name() {
            let findings = $catalog.check();
            let places: Vec<&str> = findings.iter().map(|f| f.place.as_str()).collect();
            let expected: Vec<&str> = vec![$($place),*];
            assert_eq!(places, expected, "{findings}");
        }
    )*};
}

findings! {
    a_sound_catalog_has_none:
        catalog(vec![route("a", "h", "/a/"), route("b", "h", "/b/")], vec![]) => [];
    an_unknown_pool: catalog(vec![CatalogRoute {
        targets: vec![target("gone", 1)],
        ..route("a", "h", "/a/")
    }], vec![]) => ["routes.a.targets"];
    weights_of_zero: catalog(vec![CatalogRoute {
        targets: vec![target("captions", 0), target("captions", 0)],
        ..route("a", "h", "/a/")
    }], vec![]) => ["routes.a.targets"];
    no_target: catalog(vec![CatalogRoute {
        targets: vec![],
        ..route("a", "h", "/a/")
    }], vec![]) => ["routes.a.targets"];
    no_timeout: catalog(vec![CatalogRoute { timeout: 0, ..route("a", "h", "/a/") }], vec![])
        => ["routes.a.timeout"];
    one_place_twice:
        catalog(vec![route("a", "h", "/a/"), route("b", "H", "/a/")], vec![]) => ["routes.b.prefix"];
    a_shared_key:
        catalog(vec![], vec![client("x", &["k", "l"]), client("y", &["l"])]) => ["customers.y.keys"];
    several_at_once: catalog(
        vec![CatalogRoute { timeout: 0, targets: vec![], ..route("a", "h", "/a/") }],
        vec![],
    ) => ["routes.a.timeout", "routes.a.targets"];
}

macro_rules! routes {
    ($($name:ident: $host:literal $path:literal => $route:expr;)*) => {$(
        #[test]
        fn $name() {
            let index = CatalogIndex::new(&Arc::new(catalog(vec![
                route("short", "h", "/a/"),
                route("long", "h", "/a/b/"),
                route("all", "other", "/"),
            ], vec![])));
            let found = index.route($host, $path).map(|r| r.name.as_str());
            let expected: Option<&str> = $route;
            assert_eq!(found, expected);
        }
    )*};
}

routes! {
    the_longest_prefix_wins: "h" "/a/b/c" => Some("long");
    a_prefix_ends_with_its_slash: "h" "/a/bc" => Some("short");
    the_prefix_alone_matches: "h" "/a/b/" => Some("long");
    without_its_slash_it_does_not: "h" "/a" => None;
    hosts_have_routes_of_their_own: "other" "/a/b/c" => Some("all");
    a_host_is_known_in_any_case_and_with_a_port: "H:8080" "/a/x" => Some("short");
    an_unknown_host_has_none: "nobody" "/a/b/c" => None;
}

#[test]
fn a_key_leads_to_its_customer() {
    let customers = vec![client("x", &["k", "l"]), client("y", &["m"])];
    let index = CatalogIndex::new(&Arc::new(catalog(vec![], customers)));
    let name = |key| index.customer(key).map(|c| c.name.as_str());
    assert_eq!(
        [name("l"), name("m"), name("n")],
        [Some("x"), Some("y"), None]
    );
}

#[test]
fn targets_are_drawn_by_their_weights() {
    let route = CatalogRoute {
        targets: vec![target("a", 9), target("none", 0), target("b", 1)],
        ..CatalogRoute::default()
    };
    let mut counts = BTreeMap::new();
    for drawn in 0..1_000 {
        let pool = route.choose_pool(drawn).expect("a weight is positive");
        *counts.entry(pool.as_str()).or_insert(0) += 1;
    }
    assert_eq!(counts, BTreeMap::from([("a", 900), ("b", 100)]));
}
