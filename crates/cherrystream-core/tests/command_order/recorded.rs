//! Entries as the simulated replicas record them: the term, a colon and the command.

use cherrystream_schema::messages::Entry;

pub fn term(name: &str) -> u64 {
    name.split_once(':').unwrap().0.parse().unwrap()
}

pub fn entry(name: &str, index: u64) -> Entry {
    let (_, command) = name.split_once(':').unwrap();
    Entry { term: term(name), index, command: serde_json::from_str(command).unwrap() }
}
