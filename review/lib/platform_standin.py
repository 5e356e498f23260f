"""Stand-ins for the platform: free ports, discovery, and the program as a separate process.

Only loopback addresses, free ports and a temporary folder are used. Nothing here depends on a package.
"""

import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))


class Record:
    """Writes one line for everything that was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        line = f"{time.monotonic() - self.start:8.3f} s  {text}"
        with self.lock:
            self.file.write(line + "\n")
            self.file.flush()


class CannotRun(Exception):
    """The case could not be set up: exit code 2."""


def run_case(folder, trouble, main):
    """Runs `main(record, temporary_folder)`, which returns whether the rule was broken. `trouble` is the disruption, or
    None. Ends with 1 if the rule was broken, 0 if it held, and 2 if the case could not run."""
    record = Record(os.path.join(folder, "record.txt"))
    record(f"trouble: {trouble or 'none'}")
    with tempfile.TemporaryDirectory() as temporary:
        try:
            code = 1 if main(record, temporary) else 0
        except Exception as error:  # whatever it is, it is no verdict on the rule
            record(f"could not run: {type(error).__name__}: {error}")
            code = 2
    sys.exit(code)


def free_ports(count):
    """Returns `count` loopback ports that were free a moment ago."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def listen(serve):
    """Listens on a free loopback port; `serve(socket)` runs in a thread of its own for each connection."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", 0))
    listener.listen(128)

    def accept():
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=guarded, args=(serve, connection), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    return listener.getsockname()[1]


def guarded(serve, connection):
    """Runs a connection's handler; a peer that closes or resets the connection ends it quietly."""
    try:
        serve(connection)
    except (OSError, EOFError):
        pass
    finally:
        connection.close()


def read_exactly(connection, count):
    data = b""
    while len(data) < count:
        piece = connection.recv(count - len(data))
        if not piece:
            raise EOFError
        data += piece
    return data


class Discovery:
    """Discovery: the whole list, and watches, over HTTP/1.1 with connections that stay alive."""

    def __init__(self, instances):
        self.changed = threading.Condition()
        self.generation = 1
        self.log = {1: instances}
        self.instances = {each["instanceId"]: each for each in instances}
        self.port = listen(self.serve)

    def known(self):
        """The cached list of the configuration file."""
        return {"generation": 1, "reset": True, "instances": self.log[1]}

    def serve(self, connection):
        buffered = b""
        while True:
            while b"\r\n\r\n" not in buffered:
                piece = connection.recv(4096)
                if not piece:
                    return
                buffered += piece
            head, buffered = buffered.split(b"\r\n\r\n", 1)
            target = head.split(b" ")[1].decode()
            index = re.search(r"index=(\d+)", target)
            wait = re.search(r"wait=(\d+)", target)
            with self.changed:
                if index and wait:
                    limit = min(int(wait.group(1)), 60_000) / 1000
                    self.changed.wait_for(lambda: self.generation > int(index.group(1)), timeout=limit)
                    body = self.changes_since(int(index.group(1)))
                else:
                    body = {"generation": self.generation, "reset": True,
                            "instances": list(self.instances.values())}
            text = json.dumps(body).encode()
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                               % len(text) + text)

    def changes_since(self, index):
        changed = {}
        for generation in range(index + 1, self.generation + 1):
            for each in self.log[generation]:
                changed[each["instanceId"]] = each
        return {"generation": self.generation, "reset": False, "instances": list(changed.values())}


def instance(name, port, cell):
    """An entry of discovery's list: a host that started long ago."""
    return {"instanceId": name, "hostPort": f"127.0.0.1:{port}", "zone": "dc1", "machineType": "std-2core",
            "cell": cell, "lifecycle": "active", "weight": 1.0, "startedAtMs": 0}


def settings(hosts):
    """The settings of a small deployment: `hosts` cells in a ring, two shards a cell, three holders of each shard."""
    def klass(name, semantics, aim_ms, late, worth):
        return {"Name": name, "Semantics": semantics, "Group": "all", "Stream": False, "Worth": worth,
                "AimUs": aim_ms * 1000, "DeadlineUs": 4_000_000, "WindowUs": 5_000_000, "LateValue": late}

    return {
        "Az": "dc1", "Azs": ["dc1"], "Instances": 2, "Me": 0, "TickUs": 5000, "Tier": 0, "Weights": "nominal",
        "MembershipMode": "subscribe", "ServiceType": "fanout", "WorthBy": "request", "Realms": [],
        "Kinds": ["std-2core"], "Layers": ["catalogue-fleet"], "OverShareWorth": 0.1,
        "Callers": {"MarksRetry": True}, "Report": {"Fields": ["cpu"], "How": "answers"},
        "Charges": {"CrossZone": 0.0},
        "Classes": [klass("search", "free", 1500, 0.3, 1.0), klass("place-hold", "single_shot", 1500, 0.1, 1.0),
                    klass("sales-report", "free", 2000, 0.1, 2.0)],
        "FamilyInfo": {"ClassFloor": [1.0, 1.0, 0.8], "ClassPartial": [0.9, 0.9, 0.9],
                       "CompleteFrom": [1.0, 1.0, 1.0], "FollowUp": [0, 0, 0], "OverheadUs": 48_000,
                       "PartsACall": 16, "Places": hosts, "Shards": 2 * hosts, "WarmKeys": False, "Width": 3},
        "Limits": {"Cancel": True, "ConnIdleUs": 15_000_000, "CpuUsPerRequest": 0.0, "CpuUsPerS": 400_000,
                   "DialTimeoutUs": 250_000, "MaxAttempts": 3, "MaxOpen": 200, "MaxRetryAfterUs": 2_000_000,
                   "MaxStreams": 32, "Peers": False, "Probing": True, "RetryAfter": True, "SecondCopies": True},
        "Safety": {"AnswerSlackUs": 20_000, "AskWithinUs": 10_000_000, "ColdFrom": 0.16, "DrainGraceUs": 250_000,
                   "FallUs": 1_000_000, "TipMultiple": 3.0, "WarmWithinUs": 17_000_000},
    }


def deploy_command(key):
    """Reads a command of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        found = re.search(rf'^{key}\s*=\s*"([^"]*)"', file.read(), re.MULTILINE)
    if not found:
        raise CannotRun(f"the deploy file has no {key}")
    return found.group(1)


class Gatherer:
    """The program, started with the deploy file's `run` command as a process of its own."""

    def __init__(self, folder, record, name, config, operator=None):
        self.folder, self.record, self.name = folder, record, name
        self.config_path = os.path.join(folder, f"{name}.json")
        self.operator_path = os.path.join(folder, f"{name}-operator.json")
        self.config, self.operator = config, operator
        self.starts = 0
        self.process = None

    def write(self):
        """Writes the platform's file as a whole, so that no half of it is ever read."""
        seed = f"{0x8c1f30d27a5be964 + self.starts:016x}"
        for path, value in [(self.config_path, {**self.config, "seed": seed}), (self.operator_path, self.operator)]:
            if value is not None:
                with open(path + ".new", "w", encoding="utf-8") as file:
                    json.dump(value, file)
                os.replace(path + ".new", path)

    def start(self):
        self.starts += 1
        self.write()
        temporary = os.path.join(self.folder, f"{self.name}-tmp-{self.starts}")
        os.mkdir(temporary)
        command = deploy_command("run")
        if self.operator is not None:
            command += " " + self.operator_path
        environment = {**os.environ, "RELAY_CONFIG": self.config_path, "TMPDIR": temporary}
        log = open(os.path.join(self.folder, f"{self.name}.log"), "a", encoding="utf-8")
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log,
                                        stdin=subprocess.DEVNULL)
        self.record(f"{self.name}: started as process {self.process.pid}, start {self.starts}")
        self.wait_until_ready()

    def wait_until_ready(self):
        """Waits as the platform's front does: until GET /healthz has answered 200."""
        host, port = self.config["listen"].split(":")
        until = time.monotonic() + 15
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRun(f"{self.name} ended with {self.process.returncode}: {self.log_tail()}")
            try:
                if self.healthy(host, int(port)):
                    return
            except OSError:
                pass
            time.sleep(0.02)
        raise CannotRun(f"{self.name} is not ready")

    @staticmethod
    def healthy(host, port):
        with socket.create_connection((host, port), timeout=1) as connection:
            connection.sendall(f"GET /healthz HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
            return connection.recv(64).startswith(b"HTTP/1.1 200")

    def signal(self, number):
        self.record(f"{self.name}: {signal.Signals(number).name} to process {self.process.pid}")
        self.process.send_signal(number)

    def wait_for_exit(self, seconds):
        """Returns the exit code, or None if the process still runs after `seconds`."""
        try:
            code = self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            return None
        self.record(f"{self.name}: process {self.process.pid} ended with {code}")
        return code

    def memory_kb(self):
        """Resident memory, in KiB; 0 once the process has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
                found = re.search(r"^VmRSS:\s*(\d+) kB", file.read(), re.MULTILINE)
        except OSError:
            return 0
        return int(found.group(1)) if found else 0

    def log_tail(self):
        with open(os.path.join(self.folder, f"{self.name}.log"), encoding="utf-8", errors="replace") as file:
            return file.read()[-2000:]

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def config(name, listen_port, discovery, hosts, memory_mb=192):
    """The platform's file, but for the seed."""
    return {"name": name, "listen": f"127.0.0.1:{listen_port}", "discovery": f"127.0.0.1:{discovery.port}",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024}, "known": discovery.known(),
            "settings": settings(hosts)}


def post(port, request_id, kind, deadline_ms, body, timeout=None):
    """Sends a query over HTTP/1.1 on a connection of its own. Returns the status and the body, or None and a reason."""
    text = json.dumps(body).encode()
    head = (f"POST /api HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {request_id}\r\nReq-Kind: {kind}\r\n"
            f"Req-Deadline-Ms: {deadline_ms}\r\nContent-Length: {len(text)}\r\n\r\n").encode()
    timeout = timeout if timeout is not None else deadline_ms / 1000
    until = time.monotonic() + timeout
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=timeout) as connection:
            connection.sendall(head + text)
            received = b""
            while True:
                connection.settimeout(max(0.001, until - time.monotonic()))
                piece = connection.recv(65536)
                if not piece:
                    return None, "the connection ended without a whole answer"
                received += piece
                found = re.search(rb"content-length: *(\d+)", received, re.IGNORECASE)
                if b"\r\n\r\n" in received and found:
                    answer_head, answer = received.split(b"\r\n\r\n", 1)
                    if len(answer) >= int(found.group(1)):
                        return int(answer_head.split(b" ")[1]), answer.decode()
    except TimeoutError:
        return None, "no answer before the client's time was up"
    except OSError as error:
        return None, f"{type(error).__name__}: {error}"
