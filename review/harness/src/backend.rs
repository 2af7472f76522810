//! A sound backend server as PROTOCOL.md describes it. Answers to paths with `/big/` are long and
//! are written in pieces.

use crate::http::{self, Head};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const PIECE: usize = 8 * 1024;
const PIECES: usize = 32;
const PIECE_PAUSE: Duration = Duration::from_millis(22);
const SHORT_WORK: Duration = Duration::from_millis(20);
const LONG_WORK: Duration = Duration::from_millis(4_200);

struct Server {
    id: String,
    slots: u32,
    running: AtomicU32,
}

pub fn run(args: &[String]) -> Result<(), String> {
    let [address, control, service, id, slots] = args else {
        return Err("backend ADDRESS CONTROL SERVICE ID SLOTS".into());
    };
    let slots: u32 = slots.parse().map_err(|_| "slots")?;
    let listener = TcpListener::bind(address).map_err(|e| e.to_string())?;
    let server = Arc::new(Server { id: id.clone(), slots, running: AtomicU32::new(0) });
    let control: SocketAddr = control.parse().map_err(|_| "control")?;
    let (address, service, id) = (address.clone(), service.clone(), id.clone());
    thread::spawn(move || report(control, &address, &service, &id, slots));
    for stream in listener.incoming().flatten() {
        let server = server.clone();
        thread::spawn(move || {
            let _ = serve(&server, stream);
        });
    }
    Ok(())
}

/// Sends heartbeats to the daemon on the same machine.
fn report(control: SocketAddr, address: &str, service: &str, id: &str, slots: u32) {
    for seq in 1u64.. {
        let body = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":{slots},\
             \"state\":\"ready\",\"warmup_left_s\":0,\"seq\":{seq}}}"
        );
        let headers = [("Host", "daemon".to_string()), ("Content-Type", "application/json".into())];
        let path = format!("/-/rpc?call=instances.heartbeat&of={id}");
        let taken =
            http::call(control, "POST", &path, &headers, body.as_bytes(), Duration::from_secs(1));
        let pause = if taken.is_ok_and(|a| a.status == 200) { 1_500 } else { 300 };
        thread::sleep(Duration::from_millis(pause));
    }
}

fn serve(server: &Server, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut to = stream.try_clone()?;
    let mut from = BufReader::new(stream);
    while let Some(head) = http::read_head(&mut from)? {
        http::read_body(&mut from, &head, false)?;
        let path = head.start.split(' ').nth(1).unwrap_or_default().to_string();
        if path == "/healthz" {
            let load = format!("{},0,{}", server.running.load(Ordering::Relaxed), server.slots);
            to.write_all(format!("HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\nX-Server-Load: {load}\r\nContent-Length: 0\r\n\r\n", server.id).as_bytes())?;
            continue;
        }
        let attempt = head.get("x-attempt-id").unwrap_or_default().to_string();
        if head.get("x-target-instance").is_some_and(|id| id != server.id) {
            to.write_all(format!("HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: {attempt}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n").as_bytes())?;
            continue;
        }
        server.running.fetch_add(1, Ordering::Relaxed);
        println!("runs {attempt} {path}");
        let done = work(server, &head, &attempt, &path, &mut to);
        server.running.fetch_sub(1, Ordering::Relaxed);
        println!("ends {attempt} {}", if matches!(done, Ok(true)) { "answered" } else { "cut" });
        if !done? {
            return Ok(());
        }
    }
    Ok(())
}

/// Works on a request and answers it; returns false if it ends at its deadline in mid-answer.
fn work(
    server: &Server,
    head: &Head,
    attempt: &str,
    path: &str,
    to: &mut TcpStream,
) -> io::Result<bool> {
    let start = Instant::now();
    let left: u64 = head.get("x-request-timeout-ms").and_then(|v| v.parse().ok()).unwrap_or(60_000);
    let end = start + Duration::from_millis(left);
    if path.starts_with("/grant/") {
        let done = start + LONG_WORK;
        while Instant::now() < done {
            thread::sleep(Duration::from_millis(10));
            // It drops a request when its connection closes, and ends its work at the deadline.
            if is_closed(to) || Instant::now() > end {
                return Ok(false);
            }
        }
    } else {
        thread::sleep(SHORT_WORK);
    }
    let body = if path.contains("/big/") {
        vec![b'x'; PIECE * PIECES]
    } else {
        format!("done {attempt}\n").into_bytes()
    };
    let running = server.running.load(Ordering::Relaxed);
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Signature: sig.{}\r\nX-Server-Load: {running},0,{},100\r\n\
         Content-Length: {}\r\n\r\n",
        server.id, server.slots, body.len()
    );
    to.write_all(head.as_bytes())?;
    for piece in body.chunks(PIECE) {
        // A backend server ends its work at the deadline that it was handed.
        if Instant::now() > end {
            return Ok(false);
        }
        to.write_all(piece)?;
        if body.len() > PIECE {
            thread::sleep(PIECE_PAUSE);
        }
    }
    Ok(true)
}

fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(n) => n == 0,
        Err(e) => e.kind() != io::ErrorKind::WouldBlock,
    }
}
