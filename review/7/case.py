"""One bad Flight client stops a gatherer for everybody; see claim.txt."""

import os
import struct
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand_ins_2"))

from clients import connect, get_status, query  # noqa: E402
from platform_side import free_port, listed, main, settings, trouble  # noqa: E402
from servers import Discovery, Host  # noqa: E402

#: How long the bad client sends, in seconds.
BAD_FOR = 10
#: A frame of HTTP/2 without content, of a type that HTTP/2 does not define and has receivers ignore.
NOTHING = struct.pack(">I", 0)[1:] + bytes([0xFA, 0]) + struct.pack(">I", 0)
DEADLINE_MS = 4000
#: `Safety.AnswerSlackUs`, and what each time limit grows by on sockets, in seconds.
SLACK = 0.02 + 0.05


def play(case):
    record = case.record
    hosts = [Host(record, f"s-000{cell}") for cell in range(3)]
    discovery = Discovery(record, [listed(host.name, host.address, cell) for cell, host in enumerate(hosts)])
    flight = f"127.0.0.1:{free_port()}"
    gatherer = case.start("n1", f"127.0.0.1:{free_port()}", discovery.address, discovery.known(), settings(),
                          {"flight": {"listen": flight}})
    gatherer.wait_ready()

    lock, unanswered, healthy, over = threading.Lock(), [], [], threading.Event()
    #: When anybody was answered anything.
    answered = []

    def usual():
        request_id = os.urandom(8).hex()
        started = time.monotonic()
        try:
            status = query(gatherer.listen, request_id, "search", DEADLINE_MS, [0, 1], "c41e77d0")[0]
            answered.append(time.monotonic())
        except OSError as reason:
            status = str(reason)
        took = time.monotonic() - started
        record(f"client: {request_id} ends with {status} after {took:.2f} s")
        if took > DEADLINE_MS / 1000 + SLACK:
            with lock:
                unanswered.append(request_id)

    def front():
        while not over.wait(0.1):
            started = time.monotonic()
            status = get_status(gatherer.listen, "/healthz")
            if status is not None:
                answered.append(time.monotonic())
            with lock:
                healthy.append((started, status))

    def bad():
        connection = connect(flight, 5)
        connection.settimeout(2)
        frames = NOTHING * (262_144 // len(NOTHING))
        sent, until = 0, time.monotonic() + BAD_FOR
        try:
            connection.sendall(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\0\0\0\x04\0\0\0\0\0")
            while time.monotonic() < until:
                connection.sendall(frames)
                sent += len(frames)
        except OSError as reason:
            record(f"bad client: {reason}")
        record(f"bad client: has sent {sent} bytes")
        connection.close()

    threading.Thread(target=front, daemon=True).start()
    for _ in range(4):
        usual()
    clients = []
    if trouble():
        clients.append(threading.Thread(target=bad, daemon=True))
        clients[0].start()
        record("bad client: begins to send")
    for _ in range(24):
        time.sleep(0.25)
        clients.append(threading.Thread(target=usual, daemon=True))
        clients[-1].start()
    for client in clients:
        client.join(BAD_FOR + 10)
    over.set()
    silent = sum(status != 200 for _, status in healthy)
    times = sorted(answered)
    # Somebody always waits: a health check is begun 0.1 s after the last one, a search each 0.25 s.
    longest = max(after - before for before, after in zip(times, times[1:]))
    record(f"{len(unanswered)} of 28 usual queries had no answer when their time was up; {silent} of {len(healthy)} health "
           f"checks had no 200 within 2 s; the longest time without an answer to anybody is {longest:.2f} s")
    if longest > DEADLINE_MS / 1000 + SLACK:
        return [f"nobody was answered anything for {longest:.2f} s while one Flight client sent frames; {len(unanswered)} of 28 "
                f"queries over HTTP had no answer when their time was up, {silent} of {len(healthy)} health checks no 200 within 2 s"]
    return []


main(os.path.join(HERE, "record.txt"), play)
