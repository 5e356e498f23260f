//! The failure suite: each scenario is played on both wires, and both have to tell the same story.

use insta::assert_snapshot;
use mallowgauge_testkit::{play, play_on_both, Protocol};

#[test]
fn a_query_is_answered_whole() {
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

// Guards against a second run of a part with an effect: its stream breaks off halfway, with a row that
// looks good already in, so it may have run.
#[test]
fn a_hold_cut_halfway_is_not_run_again() {
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

// Guards against giving up on a part with an effect that was turned away: it never ran.
#[test]
fn a_hold_turned_away_goes_elsewhere() {
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
fn a_search_cut_halfway_is_repeated() {
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

// Guards against marking as whole what lacks a part: the report is given from 80% and says so.
#[test]
fn a_report_from_four_parts_of_five_is_partial() {
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
fn a_report_from_less_is_not_given() {
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

// Guards against holding a failure back until the client's time is nearly up.
#[test]
fn a_hold_that_failed_is_told_at_once() {
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
fn a_client_that_leaves_ends_its_parts() {
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
fn what_makes_no_sense_is_said_plainly() {
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
fn time_runs_out_while_a_hold_is_out() {
    assert_snapshot!(play_on_both("
        send a place-hold 500 0
        expect part 0
        expect a
    "), @r"
    part 0
    a: time up
    ");
}

// Guards the bound on open queries and parts: MaxOpen is 20, a query of ten parts counts for eleven.
#[test]
fn more_than_may_be_open_is_refused() {
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
fn a_host_that_leaves_gets_nothing_new() {
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
fn a_planned_restart_finishes_what_it_took() {
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

// Guards against giving up on a part with an effect that no connection was had for: it never ran.
#[test]
fn a_hold_for_a_dead_host_goes_elsewhere() {
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

// Guards answers that are larger than a window of HTTP/2 or the room in a socket.
#[test]
fn a_wide_report_is_answered_whole() {
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

// Guards against a request on a connection that the host is about to close: idle ones go first. Here
// hosts close after 1 s, so the program does after 0.8 s.
#[test]
fn an_idle_connection_is_closed_and_the_next_part_dials_anew() {
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

// Guards the HTTP front's framing: bad input gets a 4xx, and a close where framing is lost.
#[test]
fn malformed_http_is_turned_down() {
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

// Guards against taking a broken answer for a sign that the part never ran.
#[test]
fn nonsense_from_a_host_may_have_run() {
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

// Guards the way back after discovery fails: the watch is asked for again, and what changed is heeded.
#[test]
fn discovery_fails_and_comes_back() {
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

// A refused stream has never run, so even a hold goes elsewhere.
#[test]
fn a_refused_stream_never_ran() {
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

// The stream lies above the last one that the GOAWAY names: it has never run, though the connection ends
// in the same breath.
#[test]
fn a_stream_above_the_last_of_a_goaway_never_ran() {
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

// Guards against a second run: the GOAWAY covers the stream, and then the connection ends.
#[test]
fn a_stream_below_the_last_of_a_goaway_may_have_run() {
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

// Guards the parts on a connection against the late answer to a probe that was given up.
#[test]
fn a_late_answer_to_a_probe_costs_nothing() {
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

// Guards a reload: a file that makes no sense changes nothing, a good one moves discovery at once and as
// often as it comes, and neither costs what is open. What the new discovery tells is heeded.
#[test]
fn a_reload_moves_discovery_and_keeps_what_is_open() {
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

// Guards against waiting out the time of a part whose answer came spoilt: it may have run, so a search is
// asked again at once and a hold fails at once.
#[test]
fn a_spoilt_answer_ends_the_attempt_at_once() {
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

// Guards a good answer against what comes with it: it stays good, its host is not doubted, and what
// stands behind it is not taken for the answer to the next part.
#[test]
fn a_good_answer_stays_good_whatever_comes_behind_it() {
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

// Guards against a client that never finishes its request: it hears so while a query that came after it
// still has time.
#[test]
fn half_a_request_is_told_soon() {
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

// Guards clients against a planned restart: the connections that they have stay open until the platform's
// front has had the time to send them elsewhere.
#[test]
fn a_kept_connection_stays_open_while_the_program_drains() {
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

// Guards parts against what breaks beside them: while a connection is busy another is opened, so that a
// host that cuts one cuts few.
#[test]
fn a_connection_that_breaks_takes_few_parts_with_it() {
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

// Guards new parts against a connection that has fallen silent: it ends with the last part that it was
// silent on, and does not stay for the next.
#[test]
fn a_silent_connection_ends_with_its_part() {
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
