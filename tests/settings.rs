//! The example files pass the validation of settings and patches.

use googletest::prelude::*;
use pimentovalve::core::contract::configuration::{Configuration, Patch};
use pimentovalve::daemon::settings::Settings;
use std::path::{Path, PathBuf};

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("examples").join(name)
}

#[gtest]
fn example_settings_have_the_places_of_both_deployments() {
    let andino = Settings::read(&example("andino.toml")).unwrap();
    expect_that!(andino.place.domain.as_str(), eq("lima-a"));
    let lifebuoy = Settings::read(&example("lifebuoy.toml")).unwrap();
    expect_that!(lifebuoy.place.region.as_str(), eq("baghbazar"));
    expect_that!(lifebuoy.place.domain.as_str(), eq("kolkata-north"));
}

#[gtest]
fn example_patches_make_a_first_version() {
    for (file, service) in
        [("andino-patch.toml", "retention-engine"), ("lifebuoy-patch.toml", "buoycheck")]
    {
        let text = std::fs::read_to_string(example(file)).unwrap();
        let patch: Patch = toml::from_str(&text).unwrap();
        let first = Configuration::default().patched(&patch).unwrap();
        expect_that!(first.version, eq(1));
        let service = first.service(service).unwrap();
        expect_that!(service.runner.slots, eq(8));
        expect_that!(service.runner.connections, eq(64));
        expect_that!(first.kinds.len(), ge(3));
    }
}
