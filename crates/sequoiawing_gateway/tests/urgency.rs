//! Tests in which order upstreams run the requests of several routes and customers.

use sequoiawing_catalog::{CatalogCustomer, CatalogRoute};
use sequoiawing_gateway::{GatewayExchange, LEAST_URGENCY};
use std::sync::Arc;

fn urgency(customer: Option<u32>, route: u32) -> u32 {
    let customer = CatalogCustomer {
        rank: customer,
        ..CatalogCustomer::default()
    };
    let route = CatalogRoute {
        rank: route,
        ..CatalogRoute::default()
    };
    let mut exchange = GatewayExchange::default();
    exchange.customer = Some(Arc::new(customer));
    exchange.route = Arc::new(route);
    exchange.urgency()
}

macro_rules! orders {
    ($($name:ident: $first:expr, $second:expr;)*) => {$(
        #[test]
        fn $name() {
            let (first, second) = ($first, $second);
            assert!(
                urgency(first.0, first.1) < urgency(second.0, second.1),
                "customer and route {first:?} before {second:?}"
            );
        }
    )*};
}

// Guards against long reviews that delay questions of the same engine: no request named
// an urgency.
orders! {
    routes_without_ranked_customers: (None, 0), (None, 1);
    routes_of_customers_of_one_rank: (Some(1), 0), (Some(1), 2);
    customers_before_routes: (Some(0), 2), (Some(1), 0);
}

#[test]
fn no_rank_exceeds_the_least_urgency() {
    assert_eq!(urgency(None, u32::MAX), LEAST_URGENCY);
    assert_eq!(urgency(Some(u32::MAX), 0), LEAST_URGENCY);
}
