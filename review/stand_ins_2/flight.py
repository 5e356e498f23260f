"""A small Arrow Flight client: gRPC over HTTP/2 in the clear, with Python's standard library alone.

Each call has a connection of its own. Messages are read and written field by field: `encode` and `decode` know
protobuf's wire format and no message definition.
"""

import json
import socket
import struct
import urllib.parse

DATA, HEADERS, RST_STREAM, SETTINGS, PING, GOAWAY, WINDOW_UPDATE = 0, 1, 3, 4, 6, 7, 8
END_STREAM, END_HEADERS, ACK = 1, 4, 1
#: `CancelStatus` of Flight's `CancelFlightInfoResult`.
CANCEL_STATUS = {0: "UNSPECIFIED", 1: "CANCELLED", 2: "CANCELLING", 3: "NOT_CANCELLABLE"}

#: HPACK's Huffman code is canonical: the symbols by length, ascending within a length. Up to 15 bits, which is all
#: printable ASCII but the backslash.
_BY_LENGTH = {
    5: b"012aceiost", 6: b" %-./3456789=A_bdfghlmnpru", 7: b":BCDEFGHIJKLMNOPQRSTUVWYjkqvwxyz", 8: b"&*,;XZ",
    10: b"!\"()?", 11: b"'+|", 12: b"#>", 13: b"\0$@[]~", 14: b"^}", 15: b"<`{",
}


def _huffman_codes():
    codes, code, last = {}, 0, 0
    for length in sorted(_BY_LENGTH):
        code <<= length - last
        last = length
        for symbol in sorted(_BY_LENGTH[length]):
            codes[(length, code)] = symbol
            code += 1
    return codes


_CODES = _huffman_codes()


def _huffman(data):
    text, code, length = bytearray(), 0, 0
    for byte in data:
        for bit in range(7, -1, -1):
            code, length = code << 1 | byte >> bit & 1, length + 1
            if (length, code) in _CODES:
                text.append(_CODES[(length, code)])
                code, length = 0, 0
    return bytes(text)


class _HeaderReader:
    """Reads the header blocks of one connection. Names of the static table are given by their number."""

    def __init__(self):
        self.dynamic = []

    def read(self, block):
        headers, at = [], 0

        def integer(bits):
            nonlocal at
            most = (1 << bits) - 1
            value = block[at] & most
            at += 1
            if value == most:
                shift = 0
                while True:
                    byte = block[at]
                    at += 1
                    value += (byte & 127) << shift
                    shift += 7
                    if byte < 128:
                        break
            return value

        def text():
            nonlocal at
            coded = block[at] & 128
            length = integer(7)
            data = block[at:at + length]
            at += length
            return (_huffman(data) if coded else data).decode("latin-1")

        def entry(index):
            return self.dynamic[index - 62] if index > 61 and index - 62 < len(self.dynamic) else (f"#{index}", "")

        while at < len(block):
            first = block[at]
            if first & 0x80:
                headers.append(entry(integer(7)))
            elif first & 0xE0 == 0x20:
                integer(5)
            else:
                kept = first & 0xC0 == 0x40
                index = integer(6 if kept else 4)
                name = entry(index)[0] if index else text()
                header = (name, text())
                if kept:
                    self.dynamic.insert(0, header)
                headers.append(header)
        return headers


def encode(*fields):
    """Encodes a message of `(number, value)` pairs: an `int` as varint, `str` and `bytes` with their length."""
    def varint(value):
        out = bytearray()
        while value > 127:
            out.append(value & 127 | 128)
            value >>= 7
        out.append(value)
        return bytes(out)
    message = b""
    for number, value in fields:
        if isinstance(value, int):
            message += varint(number << 3) + varint(value)
        else:
            value = value.encode() if isinstance(value, str) else value
            message += varint(number << 3 | 2) + varint(len(value)) + value
    return message


def decode(message):
    """Decodes a message into a list of values for each field number."""
    fields, at = {}, 0

    def varint():
        nonlocal at
        value = shift = 0
        while True:
            byte = message[at]
            at += 1
            value |= (byte & 127) << shift
            shift += 7
            if byte < 128:
                return value

    while at < len(message):
        key = varint()
        number, kind = key >> 3, key & 7
        if kind == 0:
            value = varint()
        elif kind == 1:
            value, at = message[at:at + 8], at + 8
        elif kind == 5:
            value, at = message[at:at + 4], at + 4
        else:
            length = varint()
            value, at = message[at:at + length], at + length
        fields.setdefault(number, []).append(value)
    return fields


class FlightError(Exception):
    """A call that ended without status OK."""

    def __init__(self, status, message):
        super().__init__(f"status {status}: {message}")
        self.status, self.message = status, message


def call(address, method, message, timeout=10.0):
    """Calls a method with one request message. Returns the messages of the answer.

    Raises `FlightError` where the status is not OK, `OSError` where the connection ends or is silent for `timeout`
    seconds.
    """
    host, port = address.rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout) as connection:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

        def frame(kind, flags, stream, payload):
            return struct.pack(">I", len(payload))[1:] + bytes([kind, flags]) + struct.pack(">I", stream) + payload

        def header(name, value):
            name, value = name.encode(), value.encode()
            assert len(name) < 127 and len(value) < 127
            return b"\0" + bytes([len(name)]) + name + bytes([len(value)]) + value

        block = b"".join(header(*pair) for pair in (
            (":method", "POST"), (":scheme", "http"), (":path", f"/arrow.flight.protocol.FlightService/{method}"),
            (":authority", address), ("content-type", "application/grpc"), ("te", "trailers")))
        body = b"\0" + struct.pack(">I", len(message)) + message
        connection.sendall(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(SETTINGS, 0, 0, b"")
                           + frame(WINDOW_UPDATE, 0, 0, struct.pack(">I", 1 << 24))
                           + frame(HEADERS, END_HEADERS, 1, block) + frame(DATA, END_STREAM, 1, body))

        def take(length):
            data = b""
            while len(data) < length:
                piece = connection.recv(length - len(data))
                if not piece:
                    raise ConnectionError("the connection ended before the call")
                data += piece
            return data

        reader, data, headers, over = _HeaderReader(), b"", [], False
        while not over:
            head = take(9)
            length, kind, flags = int.from_bytes(head[:3], "big"), head[3], head[4]
            payload = take(length)
            if kind == SETTINGS and not flags & ACK:
                connection.sendall(frame(SETTINGS, ACK, 0, b""))
            elif kind == PING and not flags & ACK:
                connection.sendall(frame(PING, ACK, 0, payload))
            elif kind == RST_STREAM:
                raise FlightError(-1, f"the stream was reset: {int.from_bytes(payload, 'big')}")
            elif kind == DATA:
                data += payload
                if payload:
                    connection.sendall(frame(WINDOW_UPDATE, 0, 1, struct.pack(">I", len(payload))))
                over = bool(flags & END_STREAM)
            elif kind == HEADERS:
                headers += reader.read(payload)
                over = bool(flags & END_STREAM)
    fields = dict(headers)
    status = fields.get("grpc-status")
    if status != "0":
        details = urllib.parse.unquote(fields.get("grpc-message", ""))
        raise FlightError(int(status) if status and status.isdigit() else -1, details)
    messages, at = [], 0
    while at + 5 <= len(data):
        length = int.from_bytes(data[at + 1:at + 5], "big")
        messages.append(data[at + 5:at + 5 + length])
        at += 5 + length
    return messages


def descriptor(command):
    """A `FlightDescriptor` with a command."""
    return encode((1, 2), (2, command if isinstance(command, (bytes, str)) else json.dumps(command)))


def get_flight_info(address, command, timeout=10.0):
    """`GetFlightInfo`: the bytes of the `FlightInfo`."""
    return call(address, "GetFlightInfo", descriptor(command), timeout)[0]


def tickets(info):
    """The bytes of the tickets of a `FlightInfo`."""
    found = []
    for endpoint in decode(info).get(3, []):
        for ticket in decode(endpoint).get(1, []):
            found.append(ticket)
    return found


def do_get(address, ticket, timeout=10.0):
    """`DoGet`: the messages of the answer; the values of a table of texts stand in their bodies."""
    return call(address, "DoGet", ticket, timeout)


def poll_flight_info(address, command, timeout=10.0):
    """`PollFlightInfo`: the `FlightInfo`, the descriptor to poll with (`None` once complete)."""
    fields = decode(call(address, "PollFlightInfo", command if isinstance(command, bytes) else descriptor(command), timeout)[0])
    return fields.get(1, [b""])[0], fields.get(2, [None])[0]


def cancel_flight_info(address, info, timeout=10.0):
    """The action `CancelFlightInfo`: the name of the status in its result."""
    request = encode((1, info))
    action = encode((1, "CancelFlightInfo"), (2, request))
    result = decode(call(address, "DoAction", action, timeout)[0])
    status = decode(result.get(1, [b""])[0]).get(1, [0])[0]
    return CANCEL_STATUS.get(status, str(status))
