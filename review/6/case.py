"""One question of one Flight client ends a gatherer; see claim.txt."""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand_ins_2"))

import flight  # noqa: E402
from clients import query  # noqa: E402
from platform_side import free_port, listed, main, settings, trouble  # noqa: E402
from servers import Discovery, Host  # noqa: E402

#: A question for two endpoints whose shards do not exist. With TROUBLE=0 the shards do.
BAD = {"kind": "search", "id": "5f0c2a9b77e14d36", "ranges": ["a", "b"], "predicate": "c41e77d0", "endpoints": 2}
SOUND = dict(BAD, ranges=[0, 1])


def play(case):
    record = case.record
    hosts = [Host(record, f"s-000{cell}", work_ms=100) for cell in range(3)]
    discovery = Discovery(record, [listed(host.name, host.address, cell) for cell, host in enumerate(hosts)])
    address = f"127.0.0.1:{free_port()}"
    gatherer = case.start("n1", f"127.0.0.1:{free_port()}", discovery.address, discovery.known(), settings(),
                          {"flight": {"listen": address}})
    gatherer.wait_ready()

    lost, over = [], threading.Event()

    def usual():
        while not over.is_set():
            request_id = os.urandom(8).hex()
            try:
                status = query(gatherer.listen, request_id, "search", 4000, [0, 1], "c41e77d0")[0]
                record(f"client: {request_id} ends with {status}")
            except OSError as reason:
                lost.append(request_id)
                record(f"client: {request_id} gets no answer: {reason}")
                return

    client = threading.Thread(target=usual, daemon=True)
    client.start()
    time.sleep(1)
    command = BAD if trouble() else SOUND
    record(f"Flight client: asks GetFlightInfo for {command}")
    try:
        answer = f"OK, {len(flight.tickets(flight.get_flight_info(address, command)))} tickets"
    except flight.FlightError as reason:
        answer = str(reason)
    except OSError as reason:
        answer = f"no answer: {reason}"
    record(f"Flight client: {answer}")
    time.sleep(1)
    over.set()
    client.join(10)
    if not gatherer.is_running():
        code = gatherer.process.returncode
        record(f"n1: has ended with {code}")
        return [f"n1 ended with {code} on one question of a Flight client; {len(lost)} usual query over HTTP got no answer"]
    return []


main(os.path.join(HERE, "record.txt"), play)
