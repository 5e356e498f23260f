"""One bad Flight client sends one row whose list states a huge length: does every other query get its final answer?"""

import os
import random
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
QUERIES_PER_S = 11
LENGTH_S = 8
BAD_CLIENT_AT_S = 3.0
STATED_ITEMS = 3_000_000_000
MEMORY_MB = 192


def serve(host, part, shard):
    sleep_ms(WORK_MS)
    return "good", value_of(part)


def bad_client(record, port):
    """One DoPut of less than 2 KB. Its column is no field of a query, so nothing is asked for."""
    messages = flight.put_of_one_row({"kind": "search", "predicate": "c41e77d0"}, STATED_ITEMS)
    record(f"bad client: DoPut, {sum(map(len, messages))} bytes, one row, its list states {STATED_ITEMS} items")
    try:
        call = flight.Call(port, "DoPut", messages, timeout=10)
        record(f"bad client: the call ended, {len(call.messages())} messages")
    except (OSError, EOFError) as error:
        record(f"bad client: the connection ended ({type(error).__name__})")


def main(record, folder):
    hosts = [FrameHost(f"s-{number}", serve) for number in range(HOSTS)]
    discovery = platform.Discovery([platform.instance(host.name, host.port, cell) for cell, host in enumerate(hosts)])
    http_port, flight_port = platform.free_ports(2)
    config = platform.config("n1", http_port, discovery, HOSTS, MEMORY_MB)
    gatherer = platform.Gatherer(folder, record, "n1", config, {"flight": {"listen": f"127.0.0.1:{flight_port}"}})
    answers, lock, ended = {}, threading.Lock(), threading.Event()

    def client(number, kind, shards):
        body = {"ranges": [{"range": shard, "portion": 1 / len(shards)} for shard in shards], "predicate": "c41e77d0"}
        status, answer = platform.post(http_port, f"q{number}", kind, 4000, body)
        with lock:
            answers[number] = status
            record(f"client: q{number}, {kind}, shards {shards}: {status} {answer[:60]}")

    def watch_memory():
        """The platform kills a gatherer that is over its memory limit."""
        while not ended.is_set():
            used = gatherer.memory_kb() / 1024
            if used > MEMORY_MB:
                record(f"platform: the gatherer holds {used:.0f} MB, its limit is {MEMORY_MB} MB")
                gatherer.signal(signal.SIGKILL)
                return
            time.sleep(0.002)

    try:
        gatherer.start()
        record(f"the gatherer holds {gatherer.memory_kb() / 1024:.0f} MB after its start")
        threading.Thread(target=watch_memory, daemon=True).start()
        draw, clients, start = random.Random(40), [], time.monotonic()
        for number in range(QUERIES_PER_S * LENGTH_S):
            time.sleep(max(0.0, start + number / QUERIES_PER_S - time.monotonic()))
            if gatherer.process.poll() is not None:
                break
            if TROUBLE and number == round(QUERIES_PER_S * BAD_CLIENT_AT_S):
                threading.Thread(target=bad_client, args=(record, flight_port), daemon=True).start()
            kind = draw.choice(["search", "search", "place-hold"])
            first, count = draw.randrange(2 * HOSTS), draw.randint(3, 5) if kind == "search" else 1
            shards = [(first + each) % (2 * HOSTS) for each in range(count)]
            clients.append(threading.Thread(target=client, args=(number, kind, shards), daemon=True))
            clients[-1].start()
        for each in clients:
            each.join(6)
        crashed = gatherer.process.poll() is not None
        if crashed:
            record(f"the gatherer has crashed: it ended with {gatherer.process.returncode}")
    finally:
        ended.set()
        gatherer.stop()
    unanswered = sorted(number for number, status in answers.items() if status is None)
    record(f"queries: {len(clients)}, without a final answer: {['q%d' % number for number in unanswered]}")
    broken = crashed or bool(unanswered)
    record("BROKEN: the gatherer crashed or left queries unanswered" if broken else "held: every query had its answer")
    return broken


if __name__ == "__main__":
    platform.run_case(FOLDER, "one bad Flight client" if TROUBLE else None, main)
