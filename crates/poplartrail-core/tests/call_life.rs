//! The life of a call as types: which endings exist when.

#[test]
fn wrong_endings_do_not_compile() {
    let cases = trybuild::TestCases::new();
    cases.compile_fail("tests/uncompiled/*.rs");
}
