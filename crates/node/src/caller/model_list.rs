use base::ModelName;
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
    let models = fleet.models.iter();
    let allowed = models.filter(|model| is_allowed(core, view, fleet, workspace, &model.name));
    let data: Vec<Value> = allowed.map(|model| model_object(&model.name)).collect();
    Response::new(json_body(&json!({ "object": "list", "data": data })))
}

/// Describes one model, if a route allows it to the workspace.
pub fn find_model(
    core: &NodeCore,
    view: &NodeView,
    fleet: &FleetDeclaration,
    workspace: &DeclaredWorkspace,
    id: &str,
) -> Option<Response<WebBody>> {
    let model = fleet
        .models
        .iter()
        .find(|model| model.name.as_str() == id)?;
    let allowed = is_allowed(core, view, fleet, workspace, &model.name);
    allowed.then(|| Response::new(json_body(&model_object(&model.name))))
}

fn is_allowed(
    core: &NodeCore,
    view: &NodeView,
    fleet: &FleetDeclaration,
    workspace: &DeclaredWorkspace,
    model: &ModelName,
) -> bool {
    let spec = ModelSpec {
        model: model.clone(),
        version: None,
        adapter: None,
    };
    core.routes
        .model_choice(view, fleet, workspace, &spec)
        .declared
}

fn model_object(model: &ModelName) -> Value {
    json!({
        "id": model,
        "object": "model",
        "created": 0,
        "owned_by": "agatemoor",
    })
}
