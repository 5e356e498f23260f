"""Stand-in clients of the HTTP frontend."""

import json
import socket


def connect(address, timeout=10.0):
    host, port = address.rsplit(":", 1)
    connection = socket.create_connection((host, int(port)), timeout)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


def read_response(connection):
    """Reads one response with a length: status, headers in lower case, body. Raises `ConnectionError` if the
    connection ends before it is whole."""
    data = b""
    while b"\r\n\r\n" not in data:
        piece = connection.recv(65536)
        if not piece:
            raise ConnectionError("the connection ended before the head was whole")
        data += piece
    head, body = data.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    headers = dict((name.lower(), value.strip()) for name, value in (line.split(":", 1) for line in lines[1:]))
    length = int(headers.get("content-length", "0"))
    while len(body) < length:
        piece = connection.recv(65536)
        if not piece:
            raise ConnectionError("the connection ended before the body was whole")
        body += piece
    return int(lines[0].split(" ")[1]), headers, body[:length]


def get_status(address, path):
    """The status of a GET, or `None` if nobody answers."""
    try:
        with connect(address, 2.0) as connection:
            connection.sendall(f"GET {path} HTTP/1.1\r\nHost: origin.svc\r\n\r\n".encode())
            return read_response(connection)[0]
    except OSError:
        return None


def query_bytes(request_id, kind, deadline_ms, shards, predicate, retry=False):
    """A query as the protocol page has it, with equal portions."""
    portion = 1.0 / len(shards)
    body = json.dumps({"ranges": [{"range": shard, "portion": portion} for shard in shards],
                       "predicate": predicate}).encode()
    mark = "Req-Retry: 1\r\n" if retry else ""
    head = (f"POST /api HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {request_id}\r\nReq-Kind: {kind}\r\n"
            f"Req-Deadline-Ms: {deadline_ms}\r\n{mark}Content-Length: {len(body)}\r\n\r\n")
    return head.encode() + body


def query(address, request_id, kind, deadline_ms, shards, predicate, retry=False):
    """Sends one query on a connection of its own. Returns status, headers and the parsed body."""
    with connect(address, deadline_ms / 1000 + 2) as connection:
        connection.sendall(query_bytes(request_id, kind, deadline_ms, shards, predicate, retry))
        status, headers, body = read_response(connection)
    try:
        parsed = json.loads(body)
    except ValueError:
        parsed = body.decode("utf-8", "replace")
    return status, headers, parsed
