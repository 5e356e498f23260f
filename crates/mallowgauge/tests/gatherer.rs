//! Failure scenarios, played over HTTP and frames and over Flight, with one expected transcript for both
//! protocols.

use insta::assert_snapshot;
use mallowgauge_testkit::{play, play_on_both, Protocol};

#[test]
fn query_gets_a_complete_response() {
    assert_snapshot!(play_on_both("
        send a search 3000 0 1 2
        expect part 0
        expect part 1
        expect part 2
        send part 0 good x
        send part 1 good y
        send part 2 good z
        expect a
    "), @r"
    part 0
    part 1
    part 2
    a: whole 0=x 1=y 2=z
    ");
}

// Guards against a second execution of a non-idempotent query: its stream ends halfway, after a row that
// looks good, so it is possibly executed.
#[test]
fn non_idempotent_query_is_not_retried_after_a_partial_response() {
    assert_snapshot!(play_on_both("
        send a place-hold 3000 0
        expect part 0
        close part 0
        expect a
        wait 300
        expect runs 0
    "), @r"
    part 0
    a: failed
    runs 0: 1
    ");
}

// Guards against failing a non-idempotent query that a backend rejected: it was not executed.
#[test]
fn non_idempotent_query_is_retried_after_a_rejection() {
    assert_snapshot!(play_on_both("
        send a place-hold 3000 0
        expect part 0
        send part 0 later
        expect part 0
        send part 0 good x
        expect a
        expect runs 0
    "), @r"
    part 0
    part 0
    a: whole 0=x
    runs 0: 2
    ");
}

#[test]
fn idempotent_query_is_retried_after_a_partial_response() {
    assert_snapshot!(play_on_both("
        send a search 3000 0
        expect part 0
        close part 0
        expect part 0
        send part 0 good x
        expect a
    "), @r"
    part 0
    part 0
    a: whole 0=x
    ");
}

// Guards against marking an incomplete response as complete: a report is returned from 80% on, and marked as
// partial.
#[test]
fn report_from_four_parts_of_five_is_partial() {
    assert_snapshot!(play_on_both("
        send a sales-report 2000 0 1 2 3 4
        expect part 0
        expect part 1
        expect part 2
        expect part 3
        send part 0 good v
        send part 1 good w
        send part 2 good x
        send part 3 good y
        expect part 4
        expect a
    "), @r"
    part 0
    part 1
    part 2
    part 3
    part 4
    a: partial 0=v 1=w 2=x 3=y
    ");
}

#[test]
fn report_below_the_minimum_completeness_is_not_returned() {
    assert_snapshot!(play_on_both("
        send a sales-report 1000 0 1 2 3 4
        expect part 0
        expect part 1
        expect part 2
        send part 0 good v
        send part 1 good w
        send part 2 good x
        expect a
    "), @r"
    part 0
    part 1
    part 2
    a: refused, with advice
    ");
}

// Guards against delaying a failure until the client's deadline.
#[test]
fn failure_of_a_non_idempotent_query_is_reported_at_once() {
    assert_snapshot!(play_on_both("
        send a place-hold 60000 0 1
        expect part 0
        send part 0 bad
        expect a
    "), @r"
    part 0
    a: failed
    ");
}

#[test]
fn client_disconnect_cancels_its_parts() {
    assert_snapshot!(play_on_both("
        send a search 3000 0
        expect part 0
        close a
        expect cancel 0
    "), @r"
    part 0
    cancel 0
    ");
}

#[test]
fn invalid_queries_get_a_specific_error() {
    assert_snapshot!(play_on_both("
        send a browse 3000 0
        expect a
        send b search 3000 99
        expect b
        send c search 3000 0 0
        expect c
        send d search 3000
        expect d
    "), @r"
    a: invalid: the class is unknown
    b: invalid: there is no such shard
    c: invalid: a shard is named twice
    d: invalid: a query needs a part
    ");
}

#[test]
fn deadline_passes_with_a_non_idempotent_query_in_flight() {
    assert_snapshot!(play_on_both("
        send a place-hold 500 0
        expect part 0
        expect a
    "), @r"
    part 0
    a: time up
    ");
}

// Guards the limit on open queries and parts: MaxOpen is 20, and a query of ten parts counts as eleven.
#[test]
fn queries_beyond_the_open_limit_are_rejected() {
    assert_snapshot!(play_on_both("
        send a search 3000 0 1 2 3 4 5 6 7 8 9
        expect part 9
        send b search 3000 0 1 2 3 4 5 6 7 8 9
        expect b
    "), @r"
    part 9
    b: refused, with advice
    ");
}

#[test]
fn draining_and_removed_backends_get_no_new_parts() {
    assert_snapshot!(play_on_both("
        send roster 0 leaving
        send roster 1 left
        send a search 3000 0 1 2 3 4 5
        expect part 0
        expect part 5
        expect hosts
    "), @r"
    part 0
    part 5
    hosts {2}
    ");
}

#[test]
fn graceful_shutdown_completes_open_queries() {
    assert_snapshot!(play_on_both("
        send a search 3000 0
        expect part 0
        send term
        expect log Serving -> Draining
        send b search 3000 1
        expect part 1
        send part 0 good x
        send part 1 good y
        expect a
        expect b
        expect exit
    "), @r"
    part 0
    log Serving -> Draining
    part 1
    a: whole 0=x
    b: whole 1=y
    exit Some(0)
    ");
}

// Guards against failing a non-idempotent query for which no connection could be opened: it was not executed.
#[test]
fn non_idempotent_query_is_retried_after_a_failed_connect() {
    assert_snapshot!(play_on_both("
        send roster 0 dead
        send roster 1 dead
        send a place-hold 3000 0
        expect part 0
        send part 0 good x
        expect a
        expect runs 0
        expect hosts
    "), @r"
    part 0
    a: whole 0=x
    runs 0: 1
    hosts {2}
    ");
}

// Guards responses that are larger than an HTTP/2 window or a socket buffer.
#[test]
fn large_report_gets_a_complete_response() {
    assert_snapshot!(play_on_both("
        send a sales-report 3000 0 1 2 3 4
        expect part 0
        expect part 1
        expect part 2
        expect part 3
        expect part 4
        send part 0 good big
        send part 1 good big
        send part 2 good big
        send part 3 good big
        send part 4 good big
        expect a
    "), @r"
    part 0
    part 1
    part 2
    part 3
    part 4
    a: whole 0=(60000 bytes) 1=(60000 bytes) 2=(60000 bytes) 3=(60000 bytes) 4=(60000 bytes)
    ");
}

// Guards against a request on a connection that the backend is about to close: the program closes idle
// connections first. Here backends close them after 1 s, so the program does after 0.8 s.
#[test]
fn idle_connection_is_closed_and_the_next_part_reconnects() {
    assert_snapshot!(play_on_both("
        send a search 3000 0
        expect part 0
        send part 0 good x
        expect a
        expect closed
        send b place-hold 3000 0
        expect part 0
        send part 0 good y
        expect b
    "), @r"
    part 0
    a: whole 0=x
    closed
    part 0
    b: whole 0=y
    ");
}

// Guards the framing of the HTTP frontend: malformed input gets a 4xx, and a close where framing is lost.
#[test]
fn malformed_http_is_rejected() {
    assert_snapshot!(play(Protocol::Http, r#"
        send raw GET /healthz HTTP/1.1\r\n\r\n
        expect raw
        send raw NONSENSE\r\n\r\n
        expect raw
        send raw GET /nothing HTTP/1.1\r\n\r\n
        expect raw
        send raw GET /api HTTP/1.1\r\n\r\n
        expect raw
        send raw POST /api HTTP/1.1\r\nContent-Length: 70000\r\n\r\n
        expect raw
        send raw POST /api HTTP/1.1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n
        expect raw
        send raw POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n
        expect raw
        send raw POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n
        expect raw
        send raw POST /api HTTP/1.1\r\nReq-Id: 1\r\nReq-Kind: search\r\nReq-Deadline-Ms: 9\r\nContent-Length: 1\r\n\r\n{
        expect raw
        send raw POST /api HTTP/1.1\r\nReq-Id: 1\r\nReq-Kind: search\r\nReq-Deadline-Ms: +900\r\nContent-Length: 59\r\n\r\n{"ranges":[{"range":0,"portion":1}],"predicate":"c41e77d0"}
        expect raw
    "#), @r"
    raw 200, closed
    raw 400, closed
    raw 404
    raw 405
    raw 413, closed
    raw 400, closed
    raw 400, closed
    raw 400
    raw 400
    raw 400
    ");
}

// Guards against treating a malformed response as proof that the part was not executed.
#[test]
fn malformed_backend_response_means_possibly_executed() {
    assert_snapshot!(play_on_both("
        send a place-hold 3000 0
        expect part 0
        send part 0 nonsense
        expect a
        expect runs 0
        send b search 3000 1
        expect part 1
        send part 1 nonsense
        expect part 1
        send part 1 good x
        expect b
    "), @r"
    part 0
    a: failed
    runs 0: 1
    part 1
    part 1
    b: whole 1=x
    ");
}

// Guards the recovery from failures of discovery: the watch is requested again, and changes are applied.
#[test]
fn discovery_fails_and_recovers() {
    assert_snapshot!(play_on_both("
        send roster fail
        send roster 0 left
        send roster fail
        send roster 1 left
        send a search 3000 0 1 2 3
        expect part 3
        expect hosts
    "), @r"
    part 3
    hosts {2}
    ");
}

// A refused stream was not executed, so even a non-idempotent query is retried at another backend.
#[test]
fn refused_stream_is_not_executed() {
    assert_snapshot!(play(Protocol::Flight, "
        send a place-hold 3000 0
        expect part 0
        send part 0 refused
        expect part 0
        send part 0 good x
        expect a
        expect runs 0
    "), @r"
    part 0
    part 0
    a: whole 0=x
    runs 0: 2
    ");
}

// The stream is above the last one that the GOAWAY names: it was not executed, although the connection ends
// at the same time.
#[test]
fn stream_above_the_last_of_a_goaway_is_not_executed() {
    assert_snapshot!(play(Protocol::FlightGoAway(0), "
        send a place-hold 3000 0
        expect part 0
        expect part 0
        send part 0 good x
        expect a
        expect runs 0
    "), @r"
    part 0
    part 0
    a: whole 0=x
    runs 0: 2
    ");
}

// Guards against a second execution: the GOAWAY covers the stream, and then the connection ends.
#[test]
fn stream_up_to_the_last_of_a_goaway_is_possibly_executed() {
    assert_snapshot!(play(Protocol::FlightGoAway(1), "
        send a place-hold 3000 0
        expect part 0
        expect a
        expect runs 0
    "), @r"
    part 0
    a: failed
    runs 0: 1
    ");
}

// Guards the parts on a connection against the late response to a health check that timed out.
#[test]
fn late_health_check_response_is_harmless() {
    assert_snapshot!(play(Protocol::Http, "
        send roster 0 left
        send roster 1 left
        send a place-hold 3000 0
        expect part 0
        send part 0 bad
        expect a
        send b search 4000 1
        expect part 1
        expect probe
        wait 400
        send probe
        wait 100
        send part 1 good x
        expect b
        expect runs 1
    "), @r"
    part 0
    a: failed
    part 1
    probe
    b: whole 1=x
    runs 1: 1
    ");
}

// Guards a reload: a malformed file changes nothing, a valid one changes the address of discovery at once,
// however often it is reloaded, and open queries survive both. The lists of the new discovery are applied.
#[test]
fn reload_changes_discovery_and_keeps_open_queries() {
    assert_snapshot!(play_on_both("
        send a place-hold 3000 0
        expect part 0
        send reload bad
        expect log configuration reload failed, previous configuration kept
        send roster 0 leaving
        send reload
        send roster 1 leaving
        send reload
        send roster 1 left
        send b search 3000 1 2 3
        expect part 1
        expect part 3
        send part 0 good x
        expect a
        expect hosts
        send term
        expect exit
    "), @r"
    part 0
    log configuration reload failed, previous configuration kept
    part 1
    part 3
    a: whole 0=x
    hosts {0, 2}
    exit Some(0)
    ");
}

// Guards against waiting for the deadline after a malformed response: the part is possibly executed, so an
// idempotent query is retried at once and a non-idempotent one fails at once.
#[test]
fn malformed_response_ends_the_attempt_at_once() {
    assert_snapshot!(play_on_both("
        send a search 60000 0
        expect part 0
        send part 0 stray x
        expect part 0
        send part 0 good y
        expect a
        send c search 60000 2
        expect part 2
        send part 2 half x
        expect part 2
        send part 2 good z
        expect c
        send b place-hold 60000 1
        expect part 1
        send part 1 half x
        expect b
        expect runs 1
    "), @r"
    part 0
    part 0
    a: whole 0=y
    part 2
    part 2
    c: whole 2=z
    part 1
    b: failed
    runs 1: 1
    ");
}

// Guards a good response against the bytes after it: it stays good, its backend's failure score does not
// rise, and the bytes are not taken for the response to the next part.
#[test]
fn good_response_stays_good_whatever_follows_it() {
    assert_snapshot!(play(Protocol::Http, "
        send a place-hold 3000 0
        expect part 0
        send part 0 noisy x
        expect a
        expect closed
        send b place-hold 3000 0
        expect part 0
        send part 0 twice y
        expect b
        send c place-hold 3000 0
        expect part 0
        send part 0 good z
        expect c
    "), @r"
    part 0
    a: whole 0=x
    closed
    part 0
    b: whole 0=y
    part 0
    c: whole 0=z
    ");
}

// Guards against a client that never completes its request: it gets a response while a query that came after
// it still has time left.
#[test]
fn incomplete_request_times_out_early() {
    assert_snapshot!(play(Protocol::Http, r"
        send raw POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\n{
        send a search 4000 0
        expect part 0
        expect raw
        send part 0 good x
        expect a
    "), @r"
    part 0
    raw 408, closed
    a: whole 0=x
    ");
}

// Guards clients during a planned restart: their connections stay open until the platform's load balancer has
// had the time to send them to another instance.
#[test]
fn idle_client_connection_stays_open_while_draining() {
    assert_snapshot!(play(Protocol::Http, r"
        send raw GET /nothing HTTP/1.1\r\n\r\n
        expect raw
        send term
        expect log Serving -> Draining
        send more GET /nothing HTTP/1.1\r\n\r\n
        expect raw
        expect exit
    "), @r"
    raw 404
    log Serving -> Draining
    raw 404
    exit Some(0)
    ");
}

// Guards parts against failures of other parts: while a connection is busy another is opened, so that a
// closed connection fails few parts.
#[test]
fn connection_failure_affects_few_parts() {
    assert_snapshot!(play_on_both("
        send roster 0 left
        send roster 1 left
        send a place-hold 3000 0
        expect part 0
        send b place-hold 3000 1
        expect part 1
        close part 0
        expect a
        send part 1 good x
        expect b
    "), @r"
    part 0
    part 1
    a: failed
    b: whole 1=x
    ");
}

// Guards new parts against an unresponsive connection: it is closed with the last part that got no response
// on it, and not used for the next.
#[test]
fn unresponsive_connection_is_closed_with_its_part() {
    assert_snapshot!(play(Protocol::Http, "
        send roster 0 left
        send roster 1 left
        send a search 4000 0
        expect part 0
        wait 400
        close a
        send b search 3000 1
        expect part 1
        expect closed
        send part 1 good x
        expect b
    "), @r"
    part 0
    part 1
    closed
    b: whole 1=x
    ");
}
