"""A listing host that speaks the platform's frames."""

import struct
import threading
import time

from platform_standin import listen, read_exactly


class FrameHost:
    """`serve_part(host, part, shard)` is called in a thread for each part. It returns the end and the value, which are
    sent back, or None to stay silent."""

    def __init__(self, name, serve_part):
        self.name, self.serve_part = name, serve_part
        self.port = listen(self.serve)

    def serve(self, connection):
        lock = threading.Lock()
        while True:
            size = struct.unpack(">I", read_exactly(connection, 4))[0]
            content = read_exactly(connection, size)
            letter, rest = content[:1], content[1:]
            if letter == b"m":
                while rest:
                    line, rest = rest.split(b"\n", 1)
                    part, shard, _, length = line.decode().split(" ")
                    rest = rest[int(length):]
                    threading.Thread(target=self.answer, args=(connection, lock, part, int(shard)), daemon=True).start()
            elif letter == b"o":
                self.send(connection, lock, b"o", b"good")
            elif letter == b"p":
                self.send(connection, lock, b"p", b"-")

    def answer(self, connection, lock, part, shard):
        result = self.serve_part(self, part, shard)
        if result is not None:
            end, value = result
            self.send(connection, lock, b"q", f"{part} {end} 0 util=0.5\n{value}".encode())

    @staticmethod
    def send(connection, lock, letter, content):
        try:
            with lock:
                connection.sendall(struct.pack(">I", len(content) + 1) + letter + content)
        except OSError:
            pass


def value_of(part):
    """The value that a host makes for a part: 16 hex digits that depend on it."""
    digest = 0xCBF29CE484222325
    for byte in part.encode():
        digest = (digest ^ byte) * 0x100000001B3 % 2**64
    return f"{digest:016x}"


def sleep_ms(milliseconds):
    time.sleep(milliseconds / 1000)
