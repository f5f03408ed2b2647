use std::net::SocketAddr;

use agatemoor::make_policy;
use node::NodeServer;

use crate::AnyError;
use crate::fleet::{NODE_ADDRESSES, PREFIX};

/// Runs a node that takes its declaration from `platform`, until it is killed.
pub async fn run(platform: SocketAddr) -> Result<(), AnyError> {
    let text = format!(
        "[node]\nname = bench-1\ndomain = bench\n\
         [callers]\nlisten = {NODE_ADDRESSES}\n\
         [operators]\nlisten = {NODE_ADDRESSES}\n\
         [peers]\nlisten = {NODE_ADDRESSES}\nkey = peer secret of the benchmark\n\
         [platform]\naddress = {platform}\nprefix = {PREFIX}\n"
    );
    let settings = schema::read_settings("bench.ini", &text);
    let settings = settings.map_err(|mistakes| format!("{mistakes:?}"))?;
    let server = NodeServer::bind(settings).await?;
    println!("{}", server.caller_address());
    let _handle = server.start(Box::new(make_policy))?;
    std::future::pending().await
}
