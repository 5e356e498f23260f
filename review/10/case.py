"""A value that a spoilt answer cut short is served as the value of its part; see claim.txt."""

import os
import sys
import threading

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand_ins_2"))

from clients import query  # noqa: E402
from platform_side import CouldNotRun, free_port, listed, main, settings, trouble  # noqa: E402
from servers import Discovery, Host, answer_frame, value_of  # noqa: E402

#: Every so many-th call has one spoilt answer.
SPOILT_EVERY = 5
QUERIES = 40
#: By how many bytes the length of a spoilt answer is too short.
SHORT_BY = 6


def play(case):
    record = case.record
    lock = threading.Lock()
    calls, spoilt = {}, []

    def work(part):
        """Answers after the work is done. Of every fifth call the first part's answer is spoilt: its length is too
        short. Nothing more comes on that connection, which stays open."""
        part.host.run(part)
        with lock:
            known = calls.setdefault((id(part.connection), round(part.received_at, 3)), len(calls))
            spoil = trouble() and part.call_size > 1 and known % SPOILT_EVERY == 0
            first = spoil and id(part.connection) not in dead
            if spoil:
                dead.add(id(part.connection))
        if id(part.connection) in dead:
            if first:
                frame = answer_frame(part.name, "good", part.value())
                short = (int.from_bytes(frame[:4], "big") - SHORT_BY).to_bytes(4, "big")
                spoilt.append(part.name)
                record(f"{part.host.name}: answers {part.name} good {part.value()}, length too short by {SHORT_BY}")
                part.send(short + frame[4:])
            return
        part.answer()

    dead = set()
    hosts = [Host(record, f"s-000{cell}", work) for cell in range(3)]
    discovery = Discovery(record, [listed(host.name, host.address, cell) for cell, host in enumerate(hosts)])
    gatherer = case.start("n1", f"127.0.0.1:{free_port()}", discovery.address, discovery.known(), settings())
    gatherer.wait_ready()

    broken, served = [], 0
    for number in range(QUERIES):
        request_id, predicate = f"{number:04d}{os.urandom(6).hex()}", f"{number:08x}"
        status, _, body = query(gatherer.listen, request_id, "search", 4000, [0, 1, 2, 3], predicate)
        record(f"client: {request_id} ends with {status} {body}")
        if status != 200:
            continue
        served += 1
        for answer in body["answers"]:
            name = f"{request_id}.{answer['range']}"
            made = value_of(name, predicate)
            if answer["blob"] != made:
                broken.append(f"the client of {name} was given {answer['blob']!r}; the value made for it is {made!r}")
    record(f"{served} of {QUERIES} queries served, {len(spoilt)} answers spoilt")
    if trouble() and not spoilt:
        raise CouldNotRun("no answer was spoilt: no call had several parts")
    return broken


main(os.path.join(HERE, "record.txt"), play)
