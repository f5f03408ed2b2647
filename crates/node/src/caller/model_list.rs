use fleet::{DeclaredWorkspace, FleetDeclaration};
use hyper::Response;
use serde_json::{Value, json};
use web::{WebBody, json_body};

use crate::{ModelSpec, NodeCore, NodeView};

/// Lists the models that a route allows to the workspace.
pub fn list_models(
    core: &NodeCore,
    view: &NodeView,
    fleet: &FleetDeclaration,
    workspace: &DeclaredWorkspace,
) -> Response<WebBody> {
    let models = fleet.models.iter().filter(|model| {
        let spec = ModelSpec {
            model: model.name.clone(),
            version: None,
            adapter: None,
        };
        core.routes
            .model_choice(view, fleet, workspace, &spec)
            .declared
    });
    let data: Vec<Value> = models
        .map(|model| {
            json!({
                "id": model.name,
                "object": "model",
                "created": 0,
                "owned_by": "agatemoor",
            })
        })
        .collect();
    Response::new(json_body(&json!({ "object": "list", "data": data })))
}
