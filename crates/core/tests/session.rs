//! Tests of session tokens.

use masticlock_core::{error, name, session::Signer};

fn account_and_version() -> (name::Account, name::Version) {
    (
        name::Account::try_from("a").unwrap(),
        name::Version::try_from("m@1").unwrap(),
    )
}

/// Guards against a session that loses its version when its next request reaches an instance
/// that does not know the session.
#[test]
fn any_instance_with_the_key_accepts_a_token() {
    let (account, version) = account_and_version();
    let token = Signer::new(b"key").sign(&account, "s1", &version);
    let session = Signer::new(b"key").verify(&account, &token).unwrap();
    assert_eq!(
        (session.id.as_str(), session.version),
        ("s1", Some(version))
    );
}

/// Guards against tokens that another client account can use, that can be altered or truncated,
/// or that have a second spelling.
#[test]
fn altered_tokens_are_refused() {
    let (account, version) = account_and_version();
    let signer = Signer::new(b"key");
    // Finds an id whose code starts with 0. A hexadecimal parser that accepts a sign would
    // read `+` in its place as the same code.
    let token = (0..1_000)
        .map(|id| signer.sign(&account, &format!("s{id}"), &version))
        .find(|token| token.split('/').nth(2).unwrap().starts_with('0'))
        .unwrap();
    assert!(signer.verify(&account, &token).is_ok());
    let (prefix, code) = token.rsplit_once('/').unwrap();
    let cases = [
        String::new(),
        "new".into(),
        prefix.into(),
        format!("{prefix}/+{}", &code[1..]),
        format!("{prefix}/{}", &code[..30]),
        format!("{prefix}/{code}00"),
        format!("{prefix}/{code}/"),
        format!("{}/{code}", prefix.replace("m@1", "m@2")),
        format!("{prefix}/{}", "ä".repeat(16)),
    ];
    for case in cases {
        let error = signer.verify(&account, &case).unwrap_err();
        assert_eq!(error.kind, error::Kind::SessionInvalid, "{case}");
    }
    let other = name::Account::try_from("b").unwrap();
    assert!(signer.verify(&other, &token).is_err());
    assert!(Signer::new(b"other").verify(&account, &token).is_err());
}
