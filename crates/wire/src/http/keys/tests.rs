use super::Keys;
use googletest::prelude::*;

const TWO: &str = "# operators\nrosa:0123456789abcdef\n\namit:fedcba9876543210:x\n";

fn verified<'a>(keys: &'a Keys, bearer: &str) -> Option<&'a str> {
    keys.verify(Some(bearer)).map(|name| name.as_str())
}

#[gtest]
fn a_valid_key_gives_its_name() {
    let keys = Keys::try_from(TWO).unwrap();
    expect_that!(verified(&keys, "rosa:0123456789abcdef"), some(eq("rosa")));
    expect_that!(verified(&keys, "amit:fedcba9876543210:x"), some(eq("amit")));
}

#[gtest]
fn missing_and_invalid_keys_give_none() {
    let keys = Keys::try_from(TWO).unwrap();
    expect_that!(keys.verify(None), none());
    for bearer in [
        "",
        "rosa",
        "rosa:",
        "rosa:0123456789abcdeF",
        "rosa:0123456789abcde",
        "rosa:0123456789abcdef0",
        "amit:0123456789abcdef",
        ":0123456789abcdef",
    ] {
        expect_that!(verified(&keys, bearer), none(), "{bearer}");
    }
    expect_that!(verified(&Keys::new(), "rosa:0123456789abcdef"), none());
}

#[gtest]
fn all_mistakes_of_a_file_are_reported_without_secrets() {
    let text =
        "rosa:0123456789abcdef\nshort:secret\nno colon\nrosa:another-secret-0\nb d:has space\n";
    let findings = Keys::try_from(text).unwrap_err();
    let places: Vec<_> = findings.as_slice().iter().map(|f| f.place.as_str()).collect();
    expect_that!(
        places,
        elements_are![
            eq(&"line 2.secret"),
            eq(&"line 3"),
            eq(&"line 4"),
            eq(&"line 5.name"),
            eq(&"line 5.secret"),
            eq(&"line 5.secret"),
        ]
    );
    expect_that!(findings.to_string(), not(contains_substring("another-secret")));
    expect_that!(Keys::try_from("# none\n"), err(anything()));
}

#[gtest]
fn the_only_key_keeps_its_bearer_token_and_hides_its_secret_in_debug_output() {
    let keys = Keys::try_from("peer:0123456789abcdef").unwrap();
    expect_that!(keys.only().map(|k| k.bearer()), some(eq("peer:0123456789abcdef")));
    expect_that!(Keys::try_from(TWO).unwrap().only(), none());
    expect_that!(format!("{keys:?}"), not(contains_substring("0123456789")));
}
