use crate::hub::HubState;
use sequoiawing_catalog::Document;
use sequoiawing_link::{
    Context, ControlError, GatewayReport, Hub, HubInfo, LoadRequest, MirrorReply, MirrorRequest,
    ModelDemand, OrderedLoads, OriginReply, OriginRequest, PlaceCall, PlaceReply, SyncReply,
};
use sequoiawing_tables::{Departure, Outcome};
use sequoiawing_types::Name;
use std::sync::Arc;

/// Handles the RPCs of gateways and other hubs.
#[derive(Clone)]
pub(crate) struct HubService {
    pub(crate) state: Arc<HubState>,
}

impl Hub for HubService {
    async fn sync(self, _: Context, report: GatewayReport) -> SyncReply {
        self.state.sync(&report).await
    }

    async fn facts(self, _: Context) -> HubInfo {
        self.state.info()
    }

    async fn mirror(self, _: Context, request: MirrorRequest) -> MirrorReply {
        self.state.mirror(&request).await
    }

    async fn request_load(self, _: Context, request: LoadRequest) -> Option<OrderedLoads> {
        self.state.request_load(request).await
    }

    async fn demand(self, _: Context, demand: Vec<ModelDemand>) {
        self.state.add_demand(demand);
    }

    async fn replace(self, _: Context, document: Document) -> Result<u64, ControlError> {
        self.state.replace_as_leader(document).await
    }

    async fn document(self, _: Context) -> Result<Document, ControlError> {
        self.state.document_as_leader().await
    }

    async fn evacuate(
        self,
        _: Context,
        centre: Name,
        begin: bool,
    ) -> Result<Outcome, ControlError> {
        self.state.evacuate_as_leader(&centre, begin).await
    }

    async fn depart(
        self,
        _: Context,
        upstream: Name,
        departure: Departure,
    ) -> Result<Outcome, ControlError> {
        self.state.depart_as_leader(&upstream, departure).await
    }

    async fn dump(self, _: Context) -> String {
        self.state.dump().to_string()
    }

    async fn stream_origins(self, _: Context, request: OriginRequest) -> OriginReply {
        self.state.find_origins(&request)
    }

    async fn places(self, _: Context, call: PlaceCall) -> PlaceReply {
        self.state.handle_places(call)
    }
}
