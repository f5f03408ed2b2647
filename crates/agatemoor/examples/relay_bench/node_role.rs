use std::net::SocketAddr;

use agatemoor::make_policy;
use node::NodeServer;

use crate::AnyError;
use crate::fleet::{LISTEN_ADDRESS, PREFIX};

/// Runs a node that reads its declaration from `platform`, until the process is killed.
pub async fn run(platform: SocketAddr) -> Result<(), AnyError> {
    let text = format!(
        "[node]\nname = bench-1\ndomain = bench\n\
         [callers]\nlisten = {LISTEN_ADDRESS}\n\
         [operators]\nlisten = {LISTEN_ADDRESS}\n\
         [peers]\nlisten = {LISTEN_ADDRESS}\nkey = peer secret of the benchmark\n\
         [platform]\naddress = {platform}\nprefix = {PREFIX}\n"
    );
    let settings = schema::read_settings("bench.ini", &text);
    let settings = settings.map_err(|mistakes| format!("{mistakes:?}"))?;
    let server = NodeServer::bind(settings).await?;
    println!("{}", server.caller_address());
    let _handle = server.start(Box::new(make_policy))?;
    std::future::pending().await
}
