"""A polled place-hold across a planned restart of its gatherer: is its part run once?"""

import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))

import flight_standin as flight
import platform_standin as platform
from frame_standin import FrameHost, sleep_ms, value_of

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOSTS = 6
WORK_MS = 90
POLL_EVERY_S = 1.0
HOLD = {"kind": "place-hold", "ranges": [{"range": 3, "portion": 1.0}], "predicate": "c41e77d0"}


class Runs:
    """Counts how often each part was run, by all hosts together."""

    def __init__(self, record):
        self.record, self.lock, self.counts = record, threading.Lock(), {}

    def serve(self, host, part, shard):
        with self.lock:
            self.counts[part] = self.counts.get(part, 0) + 1
            self.record(f"{host.name} runs part {part} (run number {self.counts[part]})")
        sleep_ms(WORK_MS)
        return "good", value_of(part)


def poll(record, port, descriptor):
    """One poll. None if the gatherer cannot be reached or ends the connection without an answer."""
    try:
        messages = flight.call(port, "PollFlightInfo", descriptor, timeout=5)
    except (OSError, EOFError) as error:
        record(f"client: PollFlightInfo: no answer ({type(error).__name__})")
        return None
    if not messages:
        record("client: PollFlightInfo: ended with a status and no message")
        return "refused"
    result = flight.PollResult(messages[0])
    state = "goes on" if result.next_descriptor else f"complete, {len(result.tickets)} ticket"
    record(f"client: PollFlightInfo: {state}")
    return result


def main(record, folder):
    runs = Runs(record)
    hosts = [FrameHost(f"s-{number}", runs.serve) for number in range(HOSTS)]
    discovery = platform.Discovery([platform.instance(host.name, host.port, cell) for cell, host in enumerate(hosts)])
    http_port, flight_port = platform.free_ports(2)
    config = platform.config("n1", http_port, discovery, HOSTS)
    operator = {"flight": {"listen": f"127.0.0.1:{flight_port}"}}
    gatherer = platform.Gatherer(folder, record, "n1", config, operator)
    restarting = Restart(gatherer)
    try:
        gatherer.start()
        record(f"client: PollFlightInfo begins a place-hold {HOLD}")
        first = poll(record, flight_port, flight.command_descriptor(HOLD))
        if first is None or first == "refused" or first.next_descriptor is None:
            raise platform.CannotRun("the first poll did not begin the query")
        descriptor = first.next_descriptor
        record(f"client: polls from now on with the descriptor that it was given: {descriptor[4:].decode(errors='replace')}")
        time.sleep(0.5)
        if TROUBLE:
            gatherer.signal(signal.SIGTERM)
            restarting.start()
        # The client polls once a second, as before, until the query has ended.
        for _ in range(12):
            time.sleep(POLL_EVERY_S)
            result = poll(record, flight_port, descriptor)
            if result == "refused":
                break
            if result is not None and result.next_descriptor is None:
                messages = flight.call(flight_port, "DoGet", result.tickets[0], timeout=5)
                record(f"client: DoGet of its ticket: {len(messages)} messages")
                break
            if result is not None:
                descriptor = result.next_descriptor
        time.sleep(0.5)
    finally:
        restarting.finish()
        gatherer.stop()
    if restarting.error:
        raise restarting.error
    if not runs.counts:
        raise platform.CannotRun("the part was never run")
    record(f"runs by part: {runs.counts}")
    broken = any(count > 1 for count in runs.counts.values())
    record("BROKEN: a part of a place-hold ran more than once" if broken else "held: no part ran more than once")
    return broken


class Restart(threading.Thread):
    """A planned restart: SIGKILL 3.7 s after SIGTERM at the soonest, then a start under the same name and addresses."""

    def __init__(self, gatherer):
        super().__init__(daemon=True)
        self.gatherer, self.error = gatherer, None

    def run(self):
        try:
            if self.gatherer.wait_for_exit(3.8) is None:
                self.gatherer.signal(signal.SIGKILL)
                self.gatherer.wait_for_exit(5)
            self.gatherer.start()
        except (platform.CannotRun, OSError) as error:
            self.error = error

    def finish(self):
        if self.ident is not None:
            self.join()


if __name__ == "__main__":
    platform.run_case(FOLDER, "a planned restart" if TROUBLE else None, main)
