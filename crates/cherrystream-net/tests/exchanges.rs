//! Requests on pooled connections: their identifiers, and the length of their responses.

use cherrystream_net::body::{self, Body, Start};
use cherrystream_net::pool::Pool;
use cherrystream_net::serve::{self, Phases};
use http::{HeaderName, Request, Response};
use http_body::Body as _;
use prometheus_client::metrics::counter::Counter;

const ID: HeaderName = HeaderName::from_static("request-id");

async fn start() -> (Pool, Counter) {
    let listener = serve::listen("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let answer = |_| async { Response::new(body::full("ok")) };
    tokio::spawn(serve::serve(listener, Phases::default(), answer));
    let connects = Counter::default();
    (Pool::new(&address, connects.clone()).with_id(ID), connects)
}

async fn exchange(pool: &Pool, id: &str) {
    let req: Request<Body> =
        Request::get("/").header("host", "h").header(ID, id).body(body::empty()).unwrap();
    let connection = pool.connection_for(id).await.unwrap();
    let res = pool.send(connection, req).await.unwrap();
    assert!(matches!(body::read_start(res.into_body(), 8).await, Ok(Start::Whole(_))));
}

/// Guards against a late response to the first of two requests with the same identifier that is taken
/// for the response to the second one.
#[tokio::test]
async fn an_identifier_is_not_sent_twice_on_a_connection() {
    let (pool, connects) = start().await;
    for (id, connections) in [("a", 1), ("b", 1), ("c", 1), ("a", 2), ("d", 2), ("a", 3)] {
        exchange(&pool, id).await;
        assert_eq!(connects.get(), connections, "{id}");
    }
    // Also if the connection was chosen without regard to the identifier.
    let connection = pool.connection().await.unwrap();
    let req = Request::get("/").header("host", "h").header(ID, "a").body(body::empty()).unwrap();
    pool.send(connection, req).await.unwrap();
    assert_eq!(connects.get(), 4);
}

/// Guards against identifiers of a connection that are kept without a bound.
#[tokio::test]
async fn a_connection_is_replaced_after_many_requests() {
    let (pool, connects) = start().await;
    for n in 0..2_500 {
        exchange(&pool, &n.to_string()).await;
    }
    assert_eq!(connects.get(), 3);
}

/// Guards against responses whose length is known and that are handled as if it were not, for example
/// as long ones.
#[tokio::test]
async fn the_length_of_a_response_is_known() {
    let (pool, _) = start().await;
    let connection = pool.connection_for("a").await.unwrap();
    let req = Request::get("/").header("host", "h").body(body::empty()).unwrap();
    let res = pool.send(connection, req).await.unwrap();
    assert_eq!(res.body().size_hint().exact(), Some(2));
}
