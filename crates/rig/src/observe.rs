//! Asks processes for their view, again and again.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::{BodyExt, Empty};
use hyper::body::Bytes;
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::time::timeout;

/// An answer at the second address is due in a second.
const DUE: Duration = Duration::from_secs(1);

/// What a process answered at `/fleet`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Sample {
    /// The dispatcher's number.
    pub who: usize,
    pub process: String,
    pub version: u64,
    pub distrust: u64,
    /// How each dispatcher stands, by its name.
    pub states: BTreeMap<String, String>,
    /// Names that it lists more than once.
    pub doubled: Vec<String>,
}

#[derive(Clone)]
pub struct Observer(Client<HttpConnector, Empty<Bytes>>);

impl Observer {
    pub fn new() -> Self {
        // One call to a connection: that is the second address's way.
        Observer(Client::builder(TokioExecutor::new()).pool_max_idle_per_host(0).build_http())
    }

    async fn get(&self, at: SocketAddr, path: &str) -> Option<(StatusCode, Bytes)> {
        let request = Request::get(format!("http://{at}{path}")).header("Connection", "close");
        let answer = self.0.request(request.body(Empty::new()).ok()?);
        let answer = timeout(DUE, answer).await.ok()?.ok()?;
        let status = answer.status();
        let body = timeout(DUE, answer.into_body().collect()).await.ok()?.ok()?;
        Some((status, body.to_bytes()))
    }

    /// Whether the process there says that it serves.
    pub async fn serves(&self, at: SocketAddr) -> bool {
        self.get(at, "/healthcheck").await.is_some_and(|(status, _)| status == StatusCode::OK)
    }

    /// The view of the process there.
    pub async fn view(&self, who: usize, at: SocketAddr) -> Option<Sample> {
        let (status, body) = self.get(at, "/fleet").await?;
        if status != StatusCode::OK {
            return None;
        }
        sample(who, &serde_json::from_slice(&body).ok()?)
    }
}

fn sample(who: usize, told: &Value) -> Option<Sample> {
    let (mut states, mut doubled) = (BTreeMap::new(), Vec::new());
    for member in told["members"].as_array()? {
        let (name, state) = (member["name"].as_str()?.to_owned(), member["state"].as_str()?.to_owned());
        if states.insert(name.clone(), state).is_some() {
            doubled.push(name);
        }
    }
    let process = told["process"].as_str()?.to_owned();
    let (version, distrust) = (told["version"].as_u64()?, told["distrust"].as_u64()?);
    Some(Sample { who, process, version, distrust, states, doubled })
}
