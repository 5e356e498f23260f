"""A crowd of bad clients ends a gatherer by its memory limit; see claim.txt."""

import os
import selectors
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand_ins_2"))

from clients import connect, query, query_bytes  # noqa: E402
from platform_side import free_port, listed, main, settings, trouble  # noqa: E402
from servers import Discovery, Host  # noqa: E402

MEMORY_MB, SOCKETS = 32, 1024
#: Queries and parts that the gatherer may hold: 130 queries of one part a second, for two seconds.
MAX_OPEN = 520
CROWD = 204
#: Length of the text of a bad client's query; its body is below the 64 KiB that a body may have.
TEXT = 60_000
#: How much of its next queries a bad client sends right behind the first one, and in which pieces, in bytes.
AHEAD, PIECE = 79_000, 2_000
#: A host works on two parts at a time.
CORES, WORK = 2, 0.1
#: How long the platform takes to kill a gatherer, in seconds.
KILL_AFTER = 0.2
KINDS = ["search", "place-hold", "sales-report"]


class MemoryLimit(threading.Thread):
    """The platform's memory limit: kills a gatherer that holds more than it may."""

    def __init__(self, case, gatherer):
        super().__init__(daemon=True)
        self.case, self.gatherer = case, gatherer
        self.peak, self.killed, self.over = {}, False, threading.Event()

    def run(self):
        while not self.over.wait(0.002) and self.gatherer.is_running():
            now = memory_kb(self.gatherer.pid)
            if now.get("VmRSS", 0) > self.peak.get("VmRSS", 0):
                self.peak = now
            if now.get("VmRSS", 0) > MEMORY_MB * 1024:
                self.case.record(f"platform: {self.gatherer.name} holds {now}, more than {MEMORY_MB * 1024} KB")
                self.killed = True
                # The platform needs a moment; how far it goes is noted until then.
                until = time.monotonic() + KILL_AFTER
                while time.monotonic() < until:
                    now = memory_kb(self.gatherer.pid)
                    self.peak = max(self.peak, now, key=lambda held: held.get("VmRSS", 0))
                    time.sleep(0.002)
                self.gatherer.send_signal(signal.SIGKILL)
                return


def memory_kb(pid):
    """What the system says of a process's memory, in KB."""
    try:
        with open(f"/proc/{pid}/status", encoding="ascii") as file:
            lines = [line.split() for line in file]
    except OSError:
        return {}
    return {line[0][:-1]: int(line[1]) for line in lines if line[0] in ("VmRSS:", "RssAnon:")}


def read_all(connections, seconds):
    """Reads whatever comes on these connections for so long."""
    selector = selectors.DefaultSelector()
    for connection in connections:
        selector.register(connection, selectors.EVENT_READ)
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        for key, _ in selector.select(0.1):
            try:
                ended = not key.fileobj.recv(65536)
            except OSError:
                ended = True
            if ended:
                selector.unregister(key.fileobj)
    selector.close()


def play(case):
    record = case.record
    free = {}

    def work(part):
        with free[part.host.name]:
            time.sleep(WORK)
        part.host.run(part)
        part.answer()

    hosts = [Host(record, f"s-000{cell}", work) for cell in range(3)]
    for host in hosts:
        free[host.name] = threading.Semaphore(CORES)
    discovery = Discovery(record, [listed(host.name, host.address, cell) for cell, host in enumerate(hosts)])
    site = settings()
    site["Limits"]["MaxOpen"] = MAX_OPEN
    gatherer = case.start("n1", f"127.0.0.1:{free_port()}", discovery.address, discovery.known(), site,
                          memory_mb=MEMORY_MB, sockets=SOCKETS)
    gatherer.wait_ready()
    record(f"n1: holds {memory_kb(gatherer.pid)} before the first query, may hold {MEMORY_MB * 1024} KB")
    limit = MemoryLimit(case, gatherer)
    limit.start()

    # Usual clients, before and during the crowd.
    lost, over = [], threading.Event()

    def usual():
        while not over.wait(0.2):
            request_id = os.urandom(8).hex()
            try:
                status, _, _ = query(gatherer.listen, request_id, "search", 4000, [0, 1], "c41e77d0")
                record(f"client: {request_id} ends with {status}")
            except OSError as reason:
                lost.append(request_id)
                record(f"client: {request_id} gets no answer: {reason}")

    client = threading.Thread(target=usual, daemon=True)
    client.start()
    time.sleep(1)

    text = "x" * TEXT if trouble() else "c41e77d0"
    ahead = (query_bytes("f" * 16, "search", 4000, [0], text) * 2)[:AHEAD] if trouble() else b""
    crowd = []
    for number in range(CROWD):
        try:
            connection = connect(gatherer.listen, 5)
            connection.sendall(query_bytes(f"{number:016x}", KINDS[number % 3], 4000, [0], text))
            crowd.append(connection)
        except OSError as reason:
            record(f"crowd: {number}: {reason}")
    record(f"crowd: {len(crowd)} clients have sent a query of {len(text)} bytes of text each")
    for at in range(0, len(ahead), PIECE):
        for connection in crowd:
            try:
                connection.sendall(ahead[at:at + PIECE])
            except OSError:
                pass
    record(f"crowd: each has sent {len(ahead)} bytes more")
    read_all(crowd, 4.5)
    over.set()
    client.join(10)
    limit.over.set()
    record(f"n1: held {limit.peak} at most; {len(lost)} usual queries without an answer")
    for connection in crowd:
        connection.close()
    if limit.killed:
        return [f"n1 held {limit.peak['VmRSS']} KB (of its own: {limit.peak['RssAnon']} KB) where {MEMORY_MB * 1024} KB are "
                f"allowed, and was killed; {len(lost)} usual queries got no answer"]
    if not gatherer.is_running():
        return [f"n1 ended with {gatherer.process.returncode}"]
    return []


main(os.path.join(HERE, "record.txt"), play)
