use std::net::SocketAddr;
use std::time::Duration;

use fleet::{KeyText, make_head};
use sha2::{Digest, Sha256};
use smol_str::SmolStr;
use standin::{ListedVm, PlatformHandle, PlatformServer};
use tokio::time::sleep;

use crate::AnyError;
use crate::caller::call;

/// Key prefix of the declaration.
pub const PREFIX: &str = "agatemoor/";
/// Listen address on the loopback interface with a port that the system chooses.
pub const LISTEN_ADDRESS: &str = "127.0.0.1:0";
/// Bearer key of the callers.
pub const CALLER_KEY: &str = "key-of-the-benchmark";
/// Polls of a starting proxy, 20 ms apart.
const READY_POLLS: usize = 500;

/// Starts a platform whose declaration has one node and the fake engine as its only engine.
pub async fn start_platform(engine: SocketAddr) -> Result<PlatformHandle, AnyError> {
    let server = PlatformServer::bind(LISTEN_ADDRESS.parse()?).await?;
    let (platform, _task) = server.start();
    let hash = Sha256::digest(CALLER_KEY.as_bytes());
    let hash: String = hash.iter().map(|byte| format!("{byte:02x}")).collect();
    // No other node exists, so nothing ever connects to the declared peer address.
    let text = format!(
        "[fleet]\nweight_rate = 4000000000\n[domain bench]\n\
         [node bench-1]\ndomain = bench\npeer_address = 127.0.0.1:9\n\
         [target e1]\nkind = engine\ndomain = bench\naddress = {engine}\nlabels = pool=main\n\
         [model quill]\nrepeatable = true\nweight_bytes = 1000000000\n\
         [workspace bench]\nkey_sha256 = {hash}\nstreams = 100000\nqueue = 100000\n\
         [route generations]\nrequests = model\ntargets = kind=engine,pool=main\n\
         [rollout quill]\nmodel = quill\nversion = 1\ntargets = pool=main\nleast_capacity = 0\n"
    );
    let keys = [KeyText::new("fleet.ini", text.as_str())];
    let entries = [("head", make_head(1, &keys)), ("fleet.ini", text)];
    platform.put_keys(entries.map(|(name, text)| {
        let key = SmolStr::from(format!("{PREFIX}{name}"));
        (key, text.into_bytes().into())
    }));
    platform.put_vm(ListedVm {
        service: "agatemoor-node".into(),
        name: "bench-1".into(),
        domain: "bench".into(),
        address: "127.0.0.1:9".into(),
        leaving: false,
    });
    Ok(platform)
}

/// Waits until a proxy relays a complete response.
pub async fn wait_ready(proxy: SocketAddr) -> Result<(), AnyError> {
    let mut last = None;
    for _ in 0..READY_POLLS {
        match call(proxy, 2, 1).await {
            Ok(_) => return Ok(()),
            Err(error) => last = Some(error),
        }
        sleep(Duration::from_millis(20)).await;
    }
    Err(format!("{proxy} does not relay complete responses: {last:?}").into())
}
