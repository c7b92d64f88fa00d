//! Tests of session tokens.

use masticlock_core::{error, name, session::Signer};

fn parts() -> (name::Account, name::Version) {
    (
        name::Account::try_from("a").unwrap(),
        name::Version::try_from("m@1").unwrap(),
    )
}

/// Guards against a session that loses its version on an instance that never saw it.
#[test]
fn any_instance_with_the_key_honours_a_token() {
    let (account, version) = parts();
    let token = Signer::new(b"key").sign(&account, "s1", &version);
    let bound = Signer::new(b"key").verify(&account, &token).unwrap();
    assert_eq!((bound.id.as_str(), bound.version), ("s1", Some(version)));
}

/// Guards against tokens that can be moved, cut or spelled in a second way.
#[test]
fn altered_tokens_are_refused() {
    let (account, version) = parts();
    let signer = Signer::new(b"key");
    // Some id gives a code that starts with 0, in whose place `+` would be parsed as well.
    let token = (0..1_000)
        .map(|id| signer.sign(&account, &format!("s{id}"), &version))
        .find(|token| token.split('/').nth(2).unwrap().starts_with('0'))
        .unwrap();
    assert!(signer.verify(&account, &token).is_ok());
    let (head, code) = token.rsplit_once('/').unwrap();
    let cases = [
        String::new(),
        "new".into(),
        head.into(),
        format!("{head}/+{}", &code[1..]),
        format!("{head}/{}", &code[..30]),
        format!("{head}/{code}00"),
        format!("{head}/{code}/"),
        format!("{}/{code}", head.replace("m@1", "m@2")),
        format!("{head}/{}", "ä".repeat(16)),
    ];
    for case in cases {
        let error = signer.verify(&account, &case).unwrap_err();
        assert_eq!(error.kind, error::Kind::SessionInvalid, "{case}");
    }
    let other = name::Account::try_from("b").unwrap();
    assert!(signer.verify(&other, &token).is_err());
    assert!(Signer::new(b"other").verify(&account, &token).is_err());
}
