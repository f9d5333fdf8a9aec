//! From a request's method and path to its handler.

use std::rc::Rc;

use filbertpitch_types::peer::ForwardCommand;
use filbertpitch_types::status::LifecycleState;
use filbertpitch_wire::message::{ServerRequest, ServerResponse};
use filbertpitch_wire::server::RequestHandler;
use http::{Method, StatusCode};

use super::node::EntryNode;

/// The path prefix of requests about one submission.
const JOB_PATH: &str = "/v1/jobs/";

/// The path prefix of requests about one trace.
const TRACE_PATH: &str = "/v1/traces/";

/// Answers all requests to an entry VM.
pub struct NodeRouter {
    node: Rc<EntryNode>,
}

impl NodeRouter {
    /// A router for `node`.
    pub fn new(node: Rc<EntryNode>) -> Self {
        Self { node }
    }

    async fn route(&self, request: ServerRequest) -> ServerResponse {
        let node = &self.node;
        let method = request.method.clone();
        let path = request.path().to_owned();
        match (&method, path.as_str()) {
            (&Method::POST, "/v1/jobs") => node.answer_submit(request).await,
            (&Method::GET, "/v1/prefix") => node.answer_prefix(),
            (&Method::GET, "/v1/status") => node.answer_status(),
            (&Method::GET, "/health/live") => ServerResponse::empty(StatusCode::OK),
            (&Method::GET, "/health/ready") => self.answer_ready(),
            (&Method::POST, "/peer/hello") => node.answer_hello(&request),
            (&Method::POST, "/peer/forward") => node.answer_forward(request).await,
            (&Method::POST, "/peer/handover") => node.answer_handover(&request),
            (&Method::POST, "/peer/state") => node.answer_state(),
            (&Method::POST, "/peer/records") => node.answer_records(&request),
            (&Method::GET, path) if path.starts_with(JOB_PATH) => {
                let text = &path[JOB_PATH.len()..];
                node.answer_job(text, ForwardCommand::Lookup).await
            }
            (&Method::DELETE, path) if path.starts_with(JOB_PATH) => {
                let text = &path[JOB_PATH.len()..];
                node.answer_job(text, ForwardCommand::Cancel).await
            }
            (&Method::GET, path) if path.starts_with(TRACE_PATH) => {
                node.answer_trace(&path[TRACE_PATH.len()..])
            }
            _ => ServerResponse::error(
                StatusCode::NOT_FOUND,
                "no_such_path",
                "there is no resource with this method and path",
            ),
        }
    }

    fn answer_ready(&self) -> ServerResponse {
        match self.node.life() {
            LifecycleState::Ready => ServerResponse::empty(StatusCode::OK),
            LifecycleState::Starting => ServerResponse::error(
                StatusCode::SERVICE_UNAVAILABLE,
                "starting",
                "no configuration has been read yet",
            ),
            LifecycleState::Draining | LifecycleState::Stopped => ServerResponse::error(
                StatusCode::SERVICE_UNAVAILABLE,
                "draining",
                "the VM finishes its work and takes no new work",
            ),
        }
    }
}

impl RequestHandler for NodeRouter {
    async fn handle(&self, request: ServerRequest) -> ServerResponse {
        self.route(request).await
    }
}
