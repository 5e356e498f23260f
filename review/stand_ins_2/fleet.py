"""A small deployment of three gatherers that the operator's file links to each other."""

import os
import time

from clients import query
from platform_side import CouldNotRun, free_port, settings


def three_linked(case, discovery, life_ms=10_000, peer_address=None, **start):
    """Starts n1, n2 and n3 with the sections `flight` and `fleet` (with `handover`) of the operator's file, and waits
    until they are ready and linked. `peer_address(of, at, port)` may name another address for peer `of` in the file
    of `at`. Each gets the attribute `flight`, where Flight clients connect."""
    names = ["n1", "n2", "n3"]
    peers = {name: free_port() for name in names}
    gatherers = []
    for name in names:
        flight = f"127.0.0.1:{free_port()}"
        entries = []
        for peer in names:
            address = f"127.0.0.1:{peers[peer]}"
            if peer_address is not None and peer != name:
                address = peer_address(peer, name, peers[peer])
            entries.append({"name": peer, "address": address})
        operator = {"flight": {"listen": flight},
                    "fleet": {"name": name, "group": 3, "listen": f"127.0.0.1:{peers[name]}",
                              "handover": {"life_ms": life_ms}, "peers": {"version": 1, "list": entries}}}
        gatherer = case.start(name, f"127.0.0.1:{free_port()}", discovery.address, discovery.known(),
                              settings(**start), operator)
        gatherer.flight = flight
        gatherers.append(gatherer)
    for gatherer in gatherers:
        gatherer.wait_ready()
        gatherer.wait_log("connected, incarnation", count=2)
    return gatherers


def wait_permits(gatherers, record, shard=0, seconds=60):
    """Waits until each gatherer takes a place-hold. After all of them started at once they reject such queries for
    twice `life_ms`, as `docs/handover.md` says."""
    until = time.monotonic() + seconds
    for gatherer in gatherers:
        while True:
            request_id = "warm" + os.urandom(6).hex()
            status, _, _ = query(gatherer.listen, request_id, "place-hold", 3000, [shard], "warm up")
            if status == 200:
                record(f"{gatherer.name}: takes place-holds")
                break
            if time.monotonic() > until:
                raise CouldNotRun(f"{gatherer.name} takes no place-hold after {seconds} s")
            time.sleep(0.25)
