//! `pimentovalve patch`: creates the next version of the configuration.

use super::client::{self, CALL_TIMEOUT, Client, Failover};
use super::{Error, Run, input, write_json};
use gumdrop::Options;
use pimentovalve_core::contract::configuration::Patch;
use pimentovalve_core::finding::List;
use pimentovalve_wire::http::Content;
use serde_json::Value;
use std::io::Write;

/// Creates the next version of the configuration from version N, if N is still current.
#[derive(Debug, Default, Options)]
pub struct Arguments {
    /// Print help
    help: bool,
    /// Print one JSON object
    #[options(no_short)]
    json: bool,
    /// Operators' address of a daemon; repeat it for others to try if the patch was not run there
    #[options(no_short, meta = "ADDR")]
    daemon: Vec<String>,
    /// File with the operator's key
    #[options(no_short, meta = "FILE")]
    key: Option<String>,
    /// Version that the patch is based on
    #[options(no_short, meta = "N")]
    base: Option<u64>,
    /// File with the patch in TOML, - for standard input
    #[options(free)]
    file: String,
}

impl Run for Arguments {
    fn run(&self, out: &mut dyn Write) -> Result<(), Error> {
        let Some(base) = self.base else {
            return Err(Error::usage("patch needs --base N, the version that it is based on"));
        };
        if self.file.is_empty() {
            return Err(Error::usage("patch needs a file"));
        }
        let text = input::read_text(&self.file)?;
        toml::from_str::<Patch>(&text)
            .map_err(|e| Error::input(&self.file, List::one("file", e.to_string().trim_end())))?;
        let client = Client::new(&self.daemon, self.key.as_deref())?;
        let path = format!("/v1/configuration?base={base}");
        let call = Client::post(&path, Content::Text, text.as_bytes(), CALL_TIMEOUT);
        let reply: Value = client::decode(&client.call(&call, Failover::OnlyIfNotRun)?)?;
        if self.json {
            return write_json(out, &reply);
        }
        let version = reply.get("version").and_then(Value::as_u64).unwrap_or(base + 1);
        writeln!(out, "version {version} is accepted")?;
        Ok(())
    }
}
