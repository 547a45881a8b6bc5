//! The life cycles of calls and nodes as types: transitions that must not compile.

#[test]
fn invalid_transitions_do_not_compile() {
    let cases = trybuild::TestCases::new();
    cases.compile_fail("tests/uncompiled/*.rs");
}
