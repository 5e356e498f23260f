"""Stand-in listing hosts and discovery."""

import json
import socket
import threading
import time


def serve(listener, handle):
    """Accepts connections until the listener is closed, each in a thread of its own."""
    def accept():
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=handle, args=(connection,), daemon=True).start()
    threading.Thread(target=accept, daemon=True).start()


def listen(port=0):
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", port))
    listener.listen(128)
    return listener


def value_of(part, predicate):
    """The value that a host makes for a part: 16 hex digits, the same on every host."""
    import hashlib
    return hashlib.sha256(f"{part} {predicate}".encode()).hexdigest()[:16]


class Part:
    """One part that a host received."""

    def __init__(self, host, connection, name, shard, wait_ms, predicate, call_size):
        self.host, self.connection = host, connection
        self.name, self.shard, self.wait_ms, self.predicate = name, shard, wait_ms, predicate
        #: How many parts came in the same frame.
        self.call_size = call_size
        self.received_at = time.monotonic()

    def value(self):
        return value_of(self.name, self.predicate)

    def answer(self, end="good", value=None):
        """Answers the part; a value belongs to `good` alone."""
        value = self.value() if value is None and end == "good" else (value or "")
        self.host.record(f"{self.host.name}: answers {self.name} {end} {value}")
        self.send(answer_frame(self.name, end, value))

    def send(self, data):
        try:
            with self.host.lock:
                self.connection.sendall(data)
        except OSError as reason:
            self.host.record(f"{self.host.name}: cannot write to the connection of {self.name}: {reason}")


def answer_frame(name, end, value):
    """The frame of an answer, as the protocol page has it."""
    rest = f"{name} {end} 1840277719 util=0.2\n{value}".encode()
    return (len(rest) + 1).to_bytes(4, "big") + b"q" + rest


class Host:
    """A listing host that speaks frames. `on_part(part)` runs in a thread of its own for each part and answers it;
    `on_part` of `None` answers each part after `work_ms`."""

    def __init__(self, record, name, on_part=None, work_ms=20):
        self.record, self.name, self.on_part, self.work_ms = record, name, on_part, work_ms
        self.lock = threading.Lock()
        #: All parts received, in order.
        self.parts = []
        #: The parts whose work was done, with the time.
        self.runs = []
        self.cancelled = []
        self.listener = listen()
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        serve(self.listener, self._handle)

    def run(self, part):
        """Notes that a part has run: its effect is done."""
        with self.lock:
            self.runs.append((time.monotonic(), part))
        self.record(f"{self.name}: RAN {part.name}")

    def _work(self, part):
        if self.on_part is not None:
            return self.on_part(part)
        time.sleep(self.work_ms / 1000)
        self.run(part)
        part.answer()

    def _handle(self, connection):
        data = b""
        while True:
            try:
                piece = connection.recv(65536)
            except OSError:
                return
            if not piece:
                return
            data += piece
            while len(data) >= 5:
                length = int.from_bytes(data[:4], "big")
                if len(data) < 4 + length:
                    break
                letter, rest = data[4:5], data[5:4 + length]
                data = data[4 + length:]
                self._frame(connection, letter, rest)

    def _frame(self, connection, letter, rest):
        if letter == b"o":
            with self.lock:
                connection.sendall(b"\x00\x00\x00\x05ogood")
        elif letter == b"p":
            with self.lock:
                connection.sendall(b"\x00\x00\x00\x09putil=0.2")
        elif letter == b"n":
            self.record(f"{self.name}: is told that {rest.decode()} is given up")
            self.cancelled.append(rest.decode())
        elif letter == b"m":
            parts, call = [], []
            while rest:
                line, rest = rest.split(b"\n", 1)
                name, shard, wait, length = line.decode().split(" ")
                text, rest = rest[:int(length)], rest[int(length):]
                call.append((name, int(shard), int(wait.split("d=")[1].split(",")[0]), text.decode()))
            for name, shard, wait, text in call:
                part = Part(self, connection, name, shard, wait, text, len(call))
                parts.append(part)
                self.record(f"{self.name}: receives {name} d={wait} in a call of {len(call)}")
            with self.lock:
                self.parts.extend(parts)
            for part in parts:
                threading.Thread(target=self._work, args=(part,), daemon=True).start()

    def vanish(self):
        """The machine is gone from the network: new connections never come up. A listener whose backlog is full and
        that accepts nobody does that on loopback, since the system drops what asks for a connection."""
        port = self.listener.getsockname()[1]
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", port))
        self.listener.listen(0)
        self._filling = []
        for _ in range(4):
            filling = socket.socket()
            filling.setblocking(False)
            filling.connect_ex(("127.0.0.1", port))
            self._filling.append(filling)
        self.record(f"{self.name}: vanishes")

    def come_back(self):
        """The machine is back, with a new process."""
        port = self.listener.getsockname()[1]
        for filling in self._filling:
            filling.close()
        self.listener.close()
        self.listener = listen(port)
        serve(self.listener, self._handle)
        self.record(f"{self.name}: is back")


class Discovery:
    """Discovery with watches. `silent` lets it accept and read calls without answering them, until it is cleared; it
    then answers the calls that are still open."""

    def __init__(self, record, entries, generation=1):
        self.record = record
        self.changed = threading.Condition()
        self.generation = generation
        #: For each host its entry and the version that brought it.
        self.entries = {entry["instanceId"]: (generation, entry) for entry in entries}
        self.silent = False
        #: Number of calls that are read and not answered.
        self.open_calls = 0
        self.listener = listen()
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        serve(self.listener, self._handle)

    def known(self):
        """The whole list, in the form of the key `known`."""
        with self.changed:
            return {"generation": self.generation, "reset": True,
                    "instances": [entry for _, entry in self.entries.values() if entry["lifecycle"] != "left"]}

    def tell(self, *entries):
        """Changes entries under a new version."""
        with self.changed:
            self.generation += 1
            for entry in entries:
                self.entries[entry["instanceId"]] = (self.generation, entry)
                self.record(f"discovery: version {self.generation} has {entry['instanceId']} {entry['lifecycle']}")
            self.changed.notify_all()

    def set_silent(self, silent):
        with self.changed:
            self.silent = silent
            self.record(f"discovery: {'down, silent' if silent else 'up again'}")
            self.changed.notify_all()

    def _handle(self, connection):
        data = b""
        while True:
            while b"\r\n\r\n" not in data:
                try:
                    piece = connection.recv(65536)
                except OSError:
                    return
                if not piece:
                    return
                data += piece
            head, data = data.split(b"\r\n\r\n", 1)
            target = head.decode("latin-1").split(" ")[1]
            reply = self._reply(connection, target)
            if reply is None:
                return
            body = json.dumps(reply).encode()
            try:
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                                   % len(body) + body)
            except OSError:
                return
            told = [f"{entry['instanceId']} {entry['lifecycle']}" for entry in reply["instances"]]
            self.record(f"discovery: answers {target} with version {reply['generation']}: {', '.join(told) or 'no change'}")

    def _reply(self, connection, target):
        """The answer to a call; `None` if its caller has closed the connection."""
        if "?" not in target:
            since, wait = None, 0
        else:
            fields = dict(field.split("=") for field in target.split("?")[1].split("&"))
            since, wait = int(fields["index"]), min(int(fields["wait"]), 60_000)
        until = time.monotonic() + wait / 1000
        with self.changed:
            self.open_calls += 1
            self.record(f"discovery: is asked {target}")
            try:
                while self.silent or (since is not None and self.generation <= since and time.monotonic() < until):
                    self.changed.wait(0.01)
                    if self.silent and is_closed(connection):
                        self.record(f"discovery: the caller of {target} has hung up")
                        return None
                if since is None:
                    return {"generation": self.generation, "reset": True,
                            "instances": [entry for _, entry in self.entries.values() if entry["lifecycle"] != "left"]}
                news = [entry for version, entry in self.entries.values() if version > since]
                return {"generation": self.generation, "reset": False, "instances": news}
            finally:
                self.open_calls -= 1


def is_closed(connection):
    """Whether the other side has closed a connection on which nothing is expected."""
    try:
        connection.setblocking(False)
        return connection.recv(1, socket.MSG_PEEK) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        try:
            connection.setblocking(True)
        except OSError:
            pass
