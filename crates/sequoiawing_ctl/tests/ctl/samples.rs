//! Sample reports of the hosts of a deployment.

use sequoiawing_ctl::{HostReport, Overview, UpstreamList};
use sequoiawing_fleet::UpstreamState;
use sequoiawing_link::{ControlStatus, RouterStatus};
use sequoiawing_tables::{Pool, Revision, Route, Tables};
use sequoiawing_types::Name;

/// A deployment of three controllers and two data centres, all healthy.
pub(crate) struct Fleet {
    pub(crate) controllers: Vec<HostReport<ControlStatus>>,
    pub(crate) routers: Vec<HostReport<RouterStatus>>,
    pub(crate) tables: Tables,
    pub(crate) upstreams: Vec<UpstreamState>,
}

impl Fleet {
    pub(crate) fn well() -> Self {
        let roles = ["leader", "follower", "follower"];
        let controllers = (1..).zip(roles).map(|(i, role)| controller(i, role));
        let routers = [
            ("entry-1", "north"),
            ("entry-2", "north"),
            ("entry-3", "south"),
        ];
        Self {
            controllers: controllers.collect(),
            routers: routers.map(|(host, centre)| router(host, centre)).to_vec(),
            tables: tables(),
            upstreams: vec![upstream("runner-1", "captions")],
        }
    }

    pub(crate) fn overview(&self) -> Overview {
        let upstreams = UpstreamList::merge([self.upstreams.clone()]);
        let tables = Some(&self.tables);
        Overview::new(
            self.controllers.clone(),
            self.routers.clone(),
            tables,
            &upstreams,
        )
    }

    /// Returns the problems, one per line.
    pub(crate) fn problems(&self) -> String {
        let problems = self.overview().problems;
        let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
        lines.join("\n")
    }

    pub(crate) fn router(&mut self, i: usize) -> &mut RouterStatus {
        self.routers[i]
            .status
            .as_mut()
            .expect("the router has a status")
    }

    pub(crate) fn controller(&mut self, i: usize) -> &mut ControlStatus {
        let status = self.controllers[i].status.as_mut();
        status.expect("the controller has a status")
    }

    pub(crate) fn disconnect_router(&mut self, i: usize) {
        self.routers[i].status = None;
        self.routers[i].problem = Some("call was not answered within 3000 ms".to_owned());
    }

    pub(crate) fn disconnect_controller(&mut self, i: usize) {
        self.controllers[i].status = None;
        self.controllers[i].problem = Some("connection refused".to_owned());
    }
}

fn controller(i: u32, role: &str) -> HostReport<ControlStatus> {
    let host = Name::from(format!("control-{i}"));
    HostReport {
        host: host.clone(),
        centre: Name::from("north"),
        status: Some(ControlStatus {
            host,
            role: role.to_owned(),
            term: 3,
            commit: 120,
            revision: Revision(42),
            disk: "sound".to_owned(),
            ..ControlStatus::default()
        }),
        problem: None,
    }
}

fn router(host: &str, centre: &str) -> HostReport<RouterStatus> {
    let leader = if centre == "north" {
        "entry-1"
    } else {
        "entry-3"
    };
    HostReport {
        host: Name::from(host),
        centre: Name::from(centre),
        status: Some(RouterStatus {
            host: Name::from(host),
            centre: Name::from(centre),
            revision: Revision(42),
            leader: Some(Name::from(leader)),
            term: 7,
            open: 12,
            upstreams: 1,
            ..RouterStatus::default()
        }),
        problem: None,
    }
}

fn tables() -> Tables {
    let mut tables = Tables::default();
    let pool = Pool {
        name: Name::from("captions"),
        ..Pool::default()
    };
    let route = Route {
        name: Name::from("captions"),
        pool: pool.name.clone(),
        ..Route::default()
    };
    tables.pools.insert(pool.name.clone(), pool);
    tables.routes.insert(route.name.clone(), route);
    tables
}

pub(crate) fn upstream(name: &str, pool: &str) -> UpstreamState {
    UpstreamState {
        name: Name::from(name),
        pool: Name::from(pool),
        centre: Name::from("north"),
        epoch: 1,
        sequence: 1,
        slots: 8,
        running: 2,
        loaded: vec![Name::from("caption")],
        ..UpstreamState::default()
    }
}
