//! Tests the stand-in's command line, and makes cargo build the program for other crates' tests.

use std::process::Command;

#[test]
fn a_load_without_a_target_is_rejected() {
    let program = env!("CARGO_BIN_EXE_cherrystream-standin");
    let output = Command::new(program).arg("load").output().unwrap();
    assert_eq!(output.status.code(), Some(2));
    let message = String::from_utf8(output.stderr).unwrap();
    assert_eq!(message, "standin: no --target; give the address of a daemon\n");
}
