"""A small Arrow Flight client: gRPC over HTTP/2 with prior knowledge, after the public definitions.

Headers are sent as HPACK literals without indexing and without Huffman coding; received ones are not decoded, since
the cases need only the messages and where a stream ends.
"""

import json
import socket
import struct

from platform_standin import read_exactly

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
DATA, HEADERS, RST_STREAM, SETTINGS, PING = 0, 1, 3, 4, 6
END_STREAM, ACK, END_HEADERS = 0x1, 0x1, 0x4
SERVICE = "/arrow.flight.protocol.FlightService/"


# ---- protobuf ----

def varint(value):
    out = b""
    while True:
        value, low = value >> 7, value & 0x7F
        out += bytes([low | (0x80 if value else 0)])
        if not value:
            return out


def field(number, data):
    """A length-delimited field."""
    return varint(number << 3 | 2) + varint(len(data)) + data


def integer_field(number, value):
    return varint(number << 3) + varint(value)


def parse(data):
    """Returns the fields of a message: number to the list of its values."""
    fields, at = {}, 0

    def read_varint():
        nonlocal at
        value = shift = 0
        while True:
            byte = data[at]
            at += 1
            value |= (byte & 0x7F) << shift
            shift += 7
            if not byte & 0x80:
                return value

    while at < len(data):
        key = read_varint()
        number, kind = key >> 3, key & 7
        if kind == 0:
            value = read_varint()
        else:
            size = {1: 8, 5: 4}[kind] if kind != 2 else read_varint()
            value, at = data[at:at + size], at + size
        fields.setdefault(number, []).append(value)
    return fields


def grpc_frame(message):
    return b"\0" + struct.pack(">I", len(message)) + message


def grpc_messages(data):
    messages = []
    while len(data) >= 5:
        size = struct.unpack(">I", data[1:5])[0]
        messages.append(data[5:5 + size])
        data = data[5 + size:]
    return messages


# ---- HTTP/2 ----

def frame(kind, flags, stream, payload):
    return struct.pack(">I", len(payload))[1:] + bytes([kind, flags]) + struct.pack(">I", stream) + payload


def read_frame(connection):
    head = read_exactly(connection, 9)
    size = int.from_bytes(head[:3], "big")
    return head[3], head[4], int.from_bytes(head[5:9], "big") & 0x7FFFFFFF, read_exactly(connection, size)


def literal(name, value):
    return b"\0" + bytes([len(name)]) + name.encode() + bytes([len(value)]) + value.encode()


class Call:
    """One call on a connection of its own. Raises OSError or EOFError where the connection cannot be had or ends."""

    def __init__(self, port, method, messages, timeout):
        self.connection = socket.create_connection(("127.0.0.1", port), timeout=timeout)
        headers = (b"\x83\x86" + literal(":path", SERVICE + method) + literal(":authority", f"127.0.0.1:{port}")
                   + literal("te", "trailers") + literal("content-type", "application/grpc"))
        frames = [frame(DATA, 0, 1, grpc_frame(message)) for message in messages]
        self.connection.sendall(PREFACE + frame(SETTINGS, 0, 0, b"") + frame(HEADERS, END_HEADERS, 1, headers)
                                + b"".join(frames) + frame(DATA, END_STREAM, 1, b""))

    def messages(self):
        """Reads to the end of the call. Returns the messages of the answer; none if it is an error."""
        data = b""
        while True:
            kind, flags, stream, payload = read_frame(self.connection)
            if kind in (SETTINGS, PING) and not flags & ACK:
                self.connection.sendall(frame(kind, ACK, 0, payload if kind == PING else b""))
            if stream == 1 and kind == DATA:
                data += payload
            if stream == 1 and kind == RST_STREAM:
                raise EOFError
            if stream == 1 and kind in (DATA, HEADERS) and flags & END_STREAM:
                return grpc_messages(data)

    def close(self):
        self.connection.close()


def call(port, method, message, timeout):
    """Makes one call with one request message. Returns the messages of the answer."""
    made = Call(port, method, [message], timeout)
    try:
        return made.messages()
    finally:
        made.close()


# ---- Flight messages ----

def command_descriptor(command):
    """A FlightDescriptor with a command."""
    return integer_field(1, 2) + field(2, json.dumps(command).encode())


class PollResult:
    """The answer to PollFlightInfo: the descriptor for the next poll, or the tickets of a query that is complete."""

    def __init__(self, message):
        fields = parse(message)
        self.next_descriptor = fields.get(2, [None])[0]
        self.tickets = tickets_of(fields[1][0]) if 1 in fields else []


def tickets_of(flight_info):
    """The tickets in a FlightInfo, each as DoGet takes it."""
    return [parse(endpoint)[1][0] for endpoint in parse(flight_info).get(3, [])]


def action(name, body):
    """The request of DoAction."""
    return field(1, name.encode()) + field(2, body)


# Messages of the Arrow IPC format, made once with the public `arrow-ipc` crate: a schema with one column `x`, a list
# (64-bit offsets) of the type null, which has no buffers; and a batch of one row whose list has LIST_LENGTH items.
LIST_SCHEMA = bytes.fromhex(
    "1000000000000a000c000a00090004000a0000001000000000010400080008000000040008000000040000000100000004000000e0ffffff"
    "180000000c000000000001154c0000000100000018000000d4ffffff1000140010000e000f0004000000080010000000180000000c000000"
    "0000010110000000000000000400040004000000040000006974656d000000000100000078000000")
LIST_BATCH = bytes.fromhex(
    "100000000c001a0018001700040008000c000000200000004000000000000000000000000000000304000a0018000c00080004000a000000"
    "3c00000010000000010000000000000000000000020000000100000000000000000000000000000067452301000000006745230100000000"
    "00000000020000000000000000000000000000000000000000000000000000001000000000000000")
LIST_BODY = bytes.fromhex(
    "0000000000000000674523010000000000000000000000000000000000000000000000000000000000000000000000000000000000000000"
    "0000000000000000")
LIST_LENGTH = struct.pack("<q", 0x1234567)


def put_of_one_row(command, items):
    """The messages of a DoPut: the defaults, the schema, and one row whose list states `items` items."""
    stated = struct.pack("<q", items)
    batch, body = LIST_BATCH.replace(LIST_LENGTH, stated), LIST_BODY.replace(LIST_LENGTH, stated)
    return [field(1, command_descriptor(command)) + field(2, LIST_SCHEMA), field(2, batch) + field(1000, body)]
