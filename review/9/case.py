"""A place-hold whose reply was lost runs a second time when its client asks again at the same gatherer; see claim.txt."""

import os
import socket
import struct
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand_ins_2"))

import flight  # noqa: E402
from clients import connect, query_bytes, read_response  # noqa: E402
from fleet import three_linked, wait_permits  # noqa: E402
from platform_side import CouldNotRun, listed, main, trouble  # noqa: E402
from servers import Discovery, Host  # noqa: E402

PREDICATE = "c41e77d0"
#: What a part and its call take a host, in milliseconds.
WORK_MS = 150
#: When the client's link breaks, and how long it waits before it asks again, in seconds.
BREAKS_AFTER, ASKS_AGAIN_AFTER = 0.03, 0.03


def play(case):
    record = case.record
    received = threading.Event()

    def work(part):
        received.set()
        time.sleep(WORK_MS / 1000)
        host.run(part)
        part.answer()

    host = Host(record, "s-0001", work)
    discovery = Discovery(record, [listed("s-0001", host.address, 0)])
    gatherers = three_linked(case, discovery)
    wait_permits(gatherers, record)
    n1 = gatherers[0]

    received.clear()
    request_id = os.urandom(8).hex()
    connection = connect(n1.listen)
    connection.sendall(query_bytes(request_id, "place-hold", 4000, [0], PREDICATE))
    record(f"client: asks n1 over HTTP for the place-hold {request_id}")
    if not received.wait(5):
        raise CouldNotRun("the host has received no part")
    if trouble():
        time.sleep(BREAKS_AFTER)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.close()
        record("client: its connection is reset")
        time.sleep(ASKS_AGAIN_AFTER)
    else:
        record(f"client: is answered {read_response(connection)[0]}")
    command = {"kind": "place-hold", "id": request_id, "ranges": [0], "predicate": PREDICATE, "retry": True}
    info = flight.get_flight_info(n1.flight, command)
    try:
        flight.do_get(n1.flight, flight.tickets(info)[0])
        again = "OK"
    except flight.FlightError as reason:
        again = str(reason)
    record(f"client: asks n1 again over Flight, under the same id, which answers {again}")
    time.sleep(1)
    runs = [part.name for _, part in host.runs if part.name.startswith(request_id)]
    record(f"runs of the place-hold: {runs}")
    if len(runs) > 1:
        return [f"one place-hold was run {len(runs)} times, as {' and '.join(runs)}"]
    return []


main(os.path.join(HERE, "record.txt"), play)
