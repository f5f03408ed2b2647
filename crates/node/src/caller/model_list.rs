use base::ModelName;
use fleet::{DeclaredModel, DeclaredWorkspace, FleetDeclaration};
use hyper::Response;
use serde_json::{Value, json};
use web::{WebBody, json_body};

use crate::{ModelSpec, NodeCore, NodeView};

/// Response with the models that the declared routes allow to a workspace.
pub fn list_models(
    core: &NodeCore,
    view: &NodeView,
    fleet: &FleetDeclaration,
    workspace: &DeclaredWorkspace,
) -> Response<WebBody> {
    let allowed = |model: &&DeclaredModel| is_allowed(core, view, fleet, workspace, &model.name);
    let models = fleet.models.iter().filter(allowed);
    let data: Vec<Value> = models.map(|model| model_object(&model.name)).collect();
    Response::new(json_body(&json!({ "object": "list", "data": data })))
}

/// Response with one model; `None` if no declared route allows it to the workspace.
pub fn show_model(
    core: &NodeCore,
    view: &NodeView,
    fleet: &FleetDeclaration,
    workspace: &DeclaredWorkspace,
    name: &str,
) -> Option<Response<WebBody>> {
    let name: ModelName = name.parse().ok()?;
    let allowed = is_allowed(core, view, fleet, workspace, &name);
    allowed.then(|| Response::new(json_body(&model_object(&name))))
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
        .model_candidates(view, fleet, workspace, &spec)
        .declared
}

fn model_object(name: &ModelName) -> Value {
    json!({ "id": name, "object": "model", "created": 0, "owned_by": "agatemoor" })
}
