"""The platform's side of a case: configuration, start and end of gatherers, the record, and the exit code.

Nothing here decides whether a rule held; each case does that itself.
"""

import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
#: Exit codes of a case.
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def trouble():
    """Whether the case plays its disruption; `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


class CouldNotRun(Exception):
    """The case could not be played as it is meant."""


class Record:
    """Writes what was sent, answered and run to a file, with the time in milliseconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._started = time.monotonic()
        self._lock = threading.Lock()

    def __call__(self, text):
        with self._lock:
            at = (time.monotonic() - self._started) * 1000
            self._file.write(f"{at:9.1f} {text}\n")
            self._file.flush()


def free_port():
    """A port on 127.0.0.1 that nothing listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def run_command():
    """The command `run` of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        found = re.search(r'^run\s*=\s*"([^"]*)"', file.read(), re.MULTILINE)
    if not found:
        raise CouldNotRun("the deploy file has no command `run`")
    return found.group(1)


def listed(name, address, cell, lifecycle="active", started_at_ms=0, zone="a"):
    """An entry of discovery's list."""
    return {"instanceId": name, "hostPort": address, "zone": zone, "machineType": "m2", "cell": cell,
            "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": started_at_ms}


def settings(**changes):
    """The settings of a small deployment, with the figures of regina-main; `changes` replaces whole keys."""
    def one(name, semantics, aim_us, late, worth):
        return {"AimUs": aim_us, "DeadlineUs": 4_000_000, "Group": "all", "LateValue": late, "Name": name,
                "Semantics": semantics, "Stream": False, "WindowUs": 5_000_000, "Worth": worth}
    base = {
        "Az": "a", "Azs": ["a"], "Instances": 3, "TickUs": 5000, "Tier": 0, "Me": 0, "MembershipMode": "subscribe",
        "Callers": {"MarksRetry": True}, "Layers": ["catalogue-fleet"], "Kinds": ["m2"], "Realms": [],
        "Classes": [one("search", "free", 1_500_000, 0.3, 1.0), one("place-hold", "single_shot", 1_500_000, 0.1, 1.0),
                    one("sales-report", "free", 2_000_000, 0.1, 2.0)],
        "Charges": {"CrossZone": 0.0},
        "FamilyInfo": {"ClassFloor": [1.0, 1.0, 0.8], "ClassPartial": [0.9, 0.9, 0.9],
                       "CompleteFrom": [1.0, 1.0, 1.0], "FollowUp": [0, 0, 0], "OverheadUs": 48000, "PartsACall": 16,
                       "Places": 3, "Shards": 6, "WarmKeys": False, "Width": 3},
        "Limits": {"Cancel": True, "ConnIdleUs": 15_000_000, "CpuUsPerRequest": 0.0, "CpuUsPerS": 400_000,
                   "DialTimeoutUs": 250_000, "MaxAttempts": 3, "MaxOpen": 200, "MaxRetryAfterUs": 2_000_000,
                   "MaxStreams": 32, "Peers": False, "Probing": True, "RetryAfter": True, "SecondCopies": True},
        "OverShareWorth": 0.1, "Report": {"Fields": ["cpu"], "How": "answers"},
        "Safety": {"AnswerSlackUs": 20_000, "AskWithinUs": 10_000_000, "ColdFrom": 0.16, "DrainGraceUs": 250_000,
                   "FallUs": 1_000_000, "TipMultiple": 3.0, "WarmWithinUs": 17_000_000},
        "ScoreParts": {"Whole": 0.6, "WorstClass": 0.2, "WorstTenant": 0.0, "WorstWindow": 0.2},
        "ServiceType": "fanout", "Weights": "nominal", "WorthBy": "request",
    }
    base.update(changes)
    return base


class Gatherer:
    """One gatherer, started by the command `run` of the deploy file."""

    def __init__(self, case, name, config, operator):
        self.name = name
        self.case = case
        self.listen = config["listen"]
        folder = tempfile.mkdtemp(prefix=f"{name}-", dir=case.folder)
        self.config_path = os.path.join(folder, "config.json")
        with open(self.config_path, "w", encoding="utf-8") as file:
            json.dump(config, file)
        command = run_command()
        if operator is not None:
            operator_path = os.path.join(folder, "operator.json")
            with open(operator_path, "w", encoding="utf-8") as file:
                json.dump(operator, file)
            command += " " + operator_path
        temporary = os.path.join(folder, "tmp")
        os.mkdir(temporary)
        environment = dict(os.environ, RELAY_NAME=name, RELAY_LISTEN=config["listen"], TMPDIR=temporary,
                           RELAY_DISCOVERY=config["discovery"], RELAY_CONFIG=self.config_path)
        self.log_path = os.path.join(folder, "log.txt")
        self._command, self._environment = command, environment
        self._run()

    def _run(self):
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(["/bin/sh", "-c", self._command], cwd=ROOT, env=self._environment,
                                            stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.case.record(f"{self.name}: started as process {self.process.pid}, clients at {self.listen}")

    def config(self):
        """The platform's file of this gatherer."""
        with open(self.config_path, encoding="utf-8") as file:
            return json.load(file)

    def restart(self, config, seconds=10):
        """A planned restart, with this as the platform's file: SIGTERM, and a new process once the old one has ended."""
        with open(self.config_path, "w", encoding="utf-8") as file:
            json.dump(config, file)
        self.send_signal(signal.SIGTERM)
        try:
            self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            raise CouldNotRun(f"{self.name} has not ended {seconds} s after SIGTERM") from None
        self._run()
        self.wait_ready()

    @property
    def pid(self):
        return self.process.pid

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            return file.read()

    def is_running(self):
        return self.process.poll() is None

    def wait_ready(self, seconds=10):
        """Waits until `GET /healthz` has answered 200, as the front does."""
        from clients import get_status
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if not self.is_running():
                raise CouldNotRun(f"{self.name} ended with {self.process.returncode}: {self.log()[-400:]}")
            if get_status(self.listen, "/healthz") == 200:
                return
            time.sleep(0.02)
        raise CouldNotRun(f"{self.name} is not ready after {seconds} s")

    def wait_log(self, text, seconds=10, count=1):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.log().count(text) >= count:
                return
            time.sleep(0.02)
        raise CouldNotRun(f"{self.name} has not logged {text!r} {count} times after {seconds} s")

    def send_signal(self, number):
        self.case.record(f"{self.name}: gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self):
        if self.is_running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()


class Case:
    """Everything that one case starts; ends all of it."""

    def __init__(self, record_path):
        self.folder = tempfile.mkdtemp(prefix="mallowgauge-review-")
        self.record = Record(record_path)
        self.gatherers = []
        self.record(f"TROUBLE={int(trouble())}")

    def start(self, name, listen, discovery, known, site, operator=None, memory_mb=192, sockets=1024):
        config = {"name": name, "listen": listen, "discovery": discovery, "seed": os.urandom(8).hex(),
                  "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
                  "known": known, "settings": site}
        gatherer = Gatherer(self, name, config, operator)
        self.gatherers.append(gatherer)
        return gatherer

    def end(self):
        for gatherer in self.gatherers:
            gatherer.end()
            for line in gatherer.log().splitlines():
                self.record(f"log of {gatherer.name} ({gatherer.pid}): {line[:300]}")
        shutil.rmtree(self.folder, ignore_errors=True)


def main(record_path, play):
    """Plays a case, with its record in the file `record_path`. `play(case)` returns the sentences that say which rule was
    broken; an empty list if none was."""
    case = Case(record_path)
    code = COULD_NOT_RUN
    try:
        broken = play(case)
        for sentence in broken:
            case.record(f"BROKEN: {sentence}")
            print(f"broken: {sentence}")
        if not broken:
            case.record("HELD")
            print("held")
        code = BROKEN if broken else HELD
    except CouldNotRun as reason:
        case.record(f"COULD NOT RUN: {reason}")
        print(f"could not run: {reason}")
    except Exception as reason:  # Whatever a stand-in did not expect: the case was not played as it is meant.
        case.record(f"COULD NOT RUN: {type(reason).__name__}: {reason}")
        print(f"could not run: {type(reason).__name__}: {reason}")
    finally:
        case.end()
    sys.stdout.flush()
    os._exit(code)
