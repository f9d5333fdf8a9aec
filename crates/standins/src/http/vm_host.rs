//! The list of VMs as an HTTP server.

use std::cell::RefCell;
use std::time::Duration;

use filbertpitch_types::platform::VmEntry;
use filbertpitch_types::prelude::*;
use filbertpitch_types::units::DurationText;
use filbertpitch_wire::codec::{BodyFormat, CodecError};
use filbertpitch_wire::message::{ServerRequest, ServerResponse};
use filbertpitch_wire::server::RequestHandler;
use http::Method;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use super::clock::HostClock;
use super::reply::{bad_request, not_found, ok, unavailable};
use crate::vm_model::{VmChange, VmModel};

/// Names the VM that a change concerns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmNameRequest {
    /// The VM's name.
    pub name: TargetName,
}

/// A change of the list's behaviour; absent fields keep their value.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct VmControl {
    /// Whether the list cannot be read.
    pub outage: Option<bool>,
    /// The lag of later changes.
    #[serde_as(as = "Option<DurationText>")]
    pub lag: Option<Duration>,
}

/// The list of VMs. Changes are made with `POST /control/add` (a VM entry), `/control/remove` and
/// `/control/leaving` (a name); `POST /control` takes a [`VmControl`].
pub struct VmHost {
    model: RefCell<VmModel>,
    clock: HostClock,
}

impl VmHost {
    /// Serves `model`.
    pub fn new(model: VmModel) -> Self {
        Self {
            model: RefCell::new(model),
            clock: HostClock::start(),
        }
    }

    fn list(&self) -> ServerResponse {
        match self.model.borrow_mut().list(self.clock.now().time) {
            Ok(list) => ok(list),
            Err(_) => unavailable(),
        }
    }

    fn change(&self, change: Result<VmChange, CodecError>) -> ServerResponse {
        match change {
            Ok(change) => {
                let now = self.clock.now().time;
                self.model.borrow_mut().change(now, change);
                ok(&serde_json::json!({}))
            }
            Err(error) => bad_request(&error),
        }
    }

    fn control(&self, request: &ServerRequest) -> ServerResponse {
        let control = match request.decode::<VmControl>(BodyFormat::Json) {
            Ok(control) => control,
            Err(error) => return bad_request(&error),
        };
        let mut model = self.model.borrow_mut();
        if let Some(outage) = control.outage {
            model.set_outage(outage);
        }
        if let Some(lag) = control.lag {
            model.set_lag(lag);
        }
        ok(&control)
    }
}

impl RequestHandler for VmHost {
    async fn handle(&self, request: ServerRequest) -> ServerResponse {
        let json = BodyFormat::Json;
        let name = || request.decode(json).map(|VmNameRequest { name }| name);
        match (&request.method, request.path()) {
            (&Method::GET, "/v1/vms") => self.list(),
            (&Method::POST, "/control/add") => {
                self.change(request.decode::<VmEntry>(json).map(VmChange::Add))
            }
            (&Method::POST, "/control/remove") => self.change(name().map(VmChange::Remove)),
            (&Method::POST, "/control/leaving") => self.change(name().map(VmChange::MarkLeaving)),
            (&Method::POST, "/control") => self.control(&request),
            _ => not_found(),
        }
    }
}
