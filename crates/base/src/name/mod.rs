//! Names and identifiers as checked newtypes over small strings.

mod text_name;

pub use text_name::{
    AdapterName, DomainName, GenerationId, ModelName, NodeName, PartId, RequestId, ServiceName,
    TargetName, VersionName, WorkspaceName,
};
