//! The relay of these tests, without processes: connections that are silenced.

use super::support::relay::{Relay, Silenced};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Time within which a byte passes through a relay that forwards it.
const PASS_TIMEOUT: Duration = Duration::from_secs(5);
/// Time in which nothing may arrive on a silenced connection.
const SILENCE: Duration = Duration::from_millis(200);

/// What one end of a connection observes.
#[derive(Debug, PartialEq, Eq)]
enum Received {
    Byte(u8),
    /// The other end has closed the connection.
    End,
    Nothing,
}

/// A relay between a server and its clients.
struct Setup {
    server: TcpListener,
    relay: Relay,
}

/// A connection through the relay.
struct Connection {
    client: TcpStream,
    server: TcpStream,
}

impl Setup {
    async fn start() -> Setup {
        let server = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let to = server.local_addr().unwrap().to_string();
        Setup { server, relay: Relay::start("127.0.0.1:0", &to).await }
    }

    /// Opens a connection, and checks that it works in both directions.
    async fn connect(&self) -> Connection {
        let client = TcpStream::connect(&self.relay.address).await.unwrap();
        let (server, _) = self.server.accept().await.unwrap();
        let mut connection = Connection { client, server };
        assert_eq!(connection.there(1, PASS_TIMEOUT).await, Received::Byte(1));
        assert_eq!(connection.back(2, PASS_TIMEOUT).await, Received::Byte(2));
        connection
    }

    /// Opens a connection and silences it.
    async fn silenced(&self, silenced: Silenced) -> Connection {
        let connection = self.connect().await;
        self.relay.silence(silenced);
        connection
    }
}

impl Connection {
    /// Sends a byte to the server; returns what the server receives.
    async fn there(&mut self, byte: u8, timeout: Duration) -> Received {
        self.client.write_all(&[byte]).await.unwrap();
        receive(&mut self.server, timeout).await
    }

    /// Sends a byte to the client; returns what the client receives.
    async fn back(&mut self, byte: u8, timeout: Duration) -> Received {
        self.server.write_all(&[byte]).await.unwrap();
        receive(&mut self.client, timeout).await
    }
}

async fn receive(stream: &mut TcpStream, timeout: Duration) -> Received {
    let mut buf = [0];
    match tokio::time::timeout(timeout, stream.read(&mut buf)).await {
        Ok(Ok(1)) => Received::Byte(buf[0]),
        Ok(_) => Received::End,
        Err(_) => Received::Nothing,
    }
}

/// Guards against a silenced connection that still carries bytes.
#[tokio::test]
async fn a_silenced_connection_carries_nothing_in_either_direction() {
    let setup = Setup::start().await;
    let mut connection = setup.silenced(Silenced::Both).await;
    for byte in [3, 4] {
        assert_eq!(connection.there(byte, SILENCE).await, Received::Nothing);
        assert_eq!(connection.back(byte, SILENCE).await, Received::Nothing);
    }
}

/// Guards against a silence of one direction that stops the other one, or none.
#[tokio::test]
async fn a_connection_silenced_one_way_carries_bytes_the_other_way() {
    let setup = Setup::start().await;
    let mut there = setup.silenced(Silenced::There).await;
    assert_eq!(there.there(3, SILENCE).await, Received::Nothing);
    assert_eq!(there.back(4, PASS_TIMEOUT).await, Received::Byte(4));
    let mut back = setup.silenced(Silenced::Back).await;
    assert_eq!(back.back(3, SILENCE).await, Received::Nothing);
    assert_eq!(back.there(4, PASS_TIMEOUT).await, Received::Byte(4));
}

/// Guards against a silence that affects connections opened after it, or that ends once there is
/// one.
#[tokio::test]
async fn only_connections_that_were_open_are_silenced() {
    for silenced in [Silenced::Both, Silenced::There, Silenced::Back] {
        let setup = Setup::start().await;
        let mut old = setup.silenced(silenced).await;
        let mut new = setup.connect().await;
        assert_eq!(new.there(3, PASS_TIMEOUT).await, Received::Byte(3));
        if silenced != Silenced::Back {
            assert_eq!(old.there(4, SILENCE).await, Received::Nothing);
        }
        if silenced != Silenced::There {
            assert_eq!(old.back(4, SILENCE).await, Received::Nothing);
        }
    }
}

/// Guards against a silenced connection whose end is passed on, so that nobody has to detect it.
#[tokio::test]
async fn the_end_of_a_silenced_connection_is_not_passed_on() {
    let setup = Setup::start().await;
    for silenced in [Silenced::Both, Silenced::There] {
        let Connection { client, mut server } = setup.silenced(silenced).await;
        drop(client);
        assert_eq!(receive(&mut server, SILENCE).await, Received::Nothing, "{silenced:?}");
    }
    for silenced in [Silenced::Both, Silenced::Back] {
        let Connection { mut client, server } = setup.silenced(silenced).await;
        drop(server);
        assert_eq!(receive(&mut client, SILENCE).await, Received::Nothing, "{silenced:?}");
    }
}

/// Guards against a silence of one direction that hides the end of the other one.
#[tokio::test]
async fn the_end_of_the_direction_that_works_is_passed_on() {
    let setup = Setup::start().await;
    let Connection { client, mut server } = setup.silenced(Silenced::Back).await;
    drop(client);
    assert_eq!(receive(&mut server, PASS_TIMEOUT).await, Received::End);
    let Connection { mut client, server } = setup.silenced(Silenced::There).await;
    drop(server);
    assert_eq!(receive(&mut client, PASS_TIMEOUT).await, Received::End);
}

/// Guards against a second silence that undoes the first, and against one that spares the
/// connections opened between the two.
#[tokio::test]
async fn each_silence_adds_to_those_before_it() {
    let setup = Setup::start().await;
    let mut first = setup.silenced(Silenced::There).await;
    let mut second = setup.silenced(Silenced::Back).await;
    assert_eq!(first.there(3, SILENCE).await, Received::Nothing);
    assert_eq!(first.back(4, SILENCE).await, Received::Nothing);
    assert_eq!(second.back(5, SILENCE).await, Received::Nothing);
    assert_eq!(second.there(6, PASS_TIMEOUT).await, Received::Byte(6));
}
