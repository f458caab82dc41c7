//! Tests of the problems that status reports.

use crate::samples::Fleet;
use sequoiawing_tables::Revision;
use sequoiawing_types::Name;

/// Generates a test per fault in an otherwise healthy deployment of the problems
/// that status reports.
macro_rules! problems {
    ($($name:ident: $fault:expr => $problems:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut fleet = Fleet::well();
                let fault: fn(&mut Fleet) = $fault;
                fault(&mut fleet);
                assert_eq!(fleet.problems(), $problems);
            }
        )*
    };
}

problems! {
    a_healthy_deployment: |_| {} => "";
    an_unreachable_controller: |f| f.disconnect_controller(1) =>
        "warning control-2: connection refused";
    an_unreachable_leader: |f| f.disconnect_controller(0) =>
        "error   controllers: no leader; 2 of 3 answer, 2 are needed\n\
         warning control-1: connection refused";
    an_old_leader_beside_a_new_one: |f| {
        f.controller(1).role = "leader".to_owned();
        f.controller(1).term = 4;
    } => "";
    two_leaders_in_one_term: |f| f.controller(1).role = "leader".to_owned() =>
        "error   controllers: 2 leaders in one term";
    a_controller_that_is_behind: |f| f.controller(2).revision = Revision(30) =>
        "warning control-3: has applied r30, behind r42";
    a_slow_disk: |f| f.controller(1).disk = "slow".to_owned() =>
        "warning control-2: its disk: slow";
    a_learner: |f| f.controller(2).role = "learner".to_owned() =>
        "warning control-3: does not vote";
    a_bootstrap_obstacle: |f| f.controller(0).obstacles = vec!["control-3 is away".to_owned()] =>
        "error   control-1: control-3 is away";
    an_unreachable_router: |f| f.disconnect_router(1) =>
        "warning entry-2: call was not answered within 3000 ms";
    a_router_one_change_behind: |f| f.router(0).revision = Revision(41) => "";
    a_router_that_is_behind: |f| f.router(0).revision = Revision(40) =>
        "warning entry-1: r40 is in force, behind r42";
    a_router_without_tables: |f| f.router(2).revision = Revision(0) =>
        "error   entry-3: waits for tables";
    a_draining_router: |f| f.router(0).draining = true =>
        "warning entry-1: is draining";
    a_centre_without_a_leader: |f| f.router(2).leader = None =>
        "error   south: has no leader";
    routers_that_disagree: |f| f.router(1).leader = Some(Name::from("entry-2")) =>
        "warning north: routers disagree on the leader";
    a_pool_without_upstreams: |f| f.upstreams.clear() =>
        "error   pools.captions: no upstream takes work; 1 routes lead here";
    a_pool_with_leaving_upstreams: |f| f.upstreams[0].leaving = true =>
        "error   pools.captions: no upstream takes work; 1 routes lead here";
    a_drained_upstream: |f| { f.tables.drained.insert(Name::from("runner-1")); } =>
        "warning runner-1: is drained by an operator";
}
