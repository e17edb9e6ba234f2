"""A small deployment on loopback: the settings of a node, its process as the platform starts it, discovery, and the
record of a run."""

import asyncio
import json
import logging
import os
import pathlib
import shutil
import signal
import socket
import tempfile
import time
import tomllib

import wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
READY_TIMEOUT = 20  # seconds
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be played; the run says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to record.txt, with the seconds since the start of the run."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8", buffering=1)
        self._started = time.monotonic()

    def write(self, who, text):
        line = f"{time.monotonic() - self._started:8.3f} {who}: {text}"
        self._file.write(line + "\n")

    def conclude(self, text):
        self.write("check", text)
        print(text)


def settings(**changes):
    """The settings of a node of colombo-main, from the example of the wire page, with changes by group."""
    base = {
        "balancers": 1,
        "callers": {"marksRetry": True},
        "classes": [
            request_class("field-query", 1.5, 6.0, 3.0, 0.1),
            request_class("route-review", 3.0, 12.0, 1.0, 0.3),
        ],
        "family": "twostage",
        "familyInfo": {
            "aimUsPer1000PromptTokens": [40000.0, 40000.0],
            "kindMemoryTokens": [199619, 195239],
            "kindRole": ["read", "write"],
            "mayReserve": True,
            "pinLimitS": 1.0,
            "reportX0": "share of memory that is held",
            "reportX1": "thousands of prompt tokens waiting to be read or fetched",
            "resume": False,
            "selfPrefill": False,
            "tokenAimS": [0.06, 0.08],
            "transferPrice": 0.02,
        },
        "kinds": ["prefill", "decode"],
        "layers": ["model-fleet"],
        "limits": {
            "connIdleS": 15.0,
            "connectTimeoutS": 0.25,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 500000,
            "maxAttempts": 6,
            "maxRetryAfterS": 1.0,
            "maxStreams": 100,
            "mayCancel": True,
            "mayTell": False,
            "mostHeld": 20000,
            "parallelTries": False,
            "probes": False,
            "retryAfter": True,
        },
        "me": 0,
        "membershipMode": "push",
        "overShareWorth": 0.1,
        "reporting": {"fields": ["mean_ms", "x0", "x1"], "via": "piggyback"},
        "resultMix": {"whole": 0.55, "worstClass": 0.35, "worstTenant": 0.0, "worstWindow": 0.1},
        "rules": {
            "answerSlackS": 0.016,
            "askWithinS": 10.0,
            "fallS": 3.0,
            "overloadFactor": 2.5,
            "startCapacity": 0.29,
            "stopSendingWithinS": 0.25,
            "warmAfterS": 13.0,
        },
        "stage": 0,
        "tariffs": {"crossZone": 0.02, "lateFail": 0.049, "probe": 0.0, "waste": 0.03},
        "tenants": [],
        "tickS": 0.004,
        "weightKind": "silent",
        "worthBy": "work",
        "zone": "kelaniya",
        "zones": ["colombo-north", "kelaniya", "moratuwa"],
    }
    for key, value in changes.items():
        base[key] = {**base[key], **value} if isinstance(value, dict) else value
    return base


def request_class(name, aim, deadline, worth, late_worth, idempotency="idempotent", group="all", window=5.0):
    return {
        "aimS": aim,
        "deadlineS": deadline,
        "dedupWindowS": window,
        "group": group,
        "idempotency": idempotency,
        "lateWorth": late_worth,
        "name": name,
        "stream": True,
        "worth": worth,
    }


def entry(name, address, kind, **changes):
    return {
        "name": name,
        "address": address,
        "zone": "kelaniya",
        "type": kind,
        "group": 1,
        "status": "up",
        "weight": 1.0,
        "since_ms": 0,
        **changes,
    }


class Discovery:
    """The agent of discovery on the node's machine: answers each watch at once with the list and tells changes."""

    def __init__(self, record, entries):
        self.record, self.entries, self.index = record, {e["name"]: e for e in entries}, 1
        self.watches = set()
        self.address = None

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        self._keepalive = asyncio.create_task(self.send_keepalives())

    def encode(self, names, full):
        endpoints = [self.entries[name] for name in names]
        return json.dumps({"index": self.index, "snapshot": full, "endpoints": endpoints}).encode() + b"\n"

    async def serve(self, reader, writer):
        try:
            await wire.read_message(reader)
            listed = [name for name, e in self.entries.items() if e["status"] != "removed"]
            writer.write(wire.STREAM_HEAD.replace(b"text/event-stream", b"application/json"))
            writer.write(wire.chunk(self.encode(listed, True)))
            self.watches.add(writer)
            await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # cancelled at the end of the run
        finally:
            self.watches.discard(writer)
            writer.close()

    def tell(self, name, **changes):
        self.index += 1
        self.entries[name].update(changes)
        self.record.write("discovery", f"tells {name}: {changes}")
        for writer in self.watches:
            writer.write(wire.chunk(self.encode([name], False)))

    async def send_keepalives(self):
        while True:
            await asyncio.sleep(2)
            for writer in self.watches:
                writer.write(wire.chunk(b"\n"))


class Node:
    """One node, started by the `run` line of the deploy file in a folder of its own."""

    def __init__(self, record, discovery, node_settings, limits=None, name="n0"):
        self.record, self.name = record, name
        self.folder = tempfile.mkdtemp(prefix="gannetcourse-review-")
        holder = socket.socket()
        holder.bind(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % holder.getsockname()[1]
        holder.close()
        self.discovery, self.process = discovery, None
        self.configuration = {
            "name": name,
            "listen": self.address,
            "discovery": discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, **(limits or {})},
            "known": {"index": 0, "snapshot": True, "endpoints": []},
            "settings": node_settings,
        }

    @property
    def pid(self):
        return self.process.pid

    async def start(self):
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        if not (ROOT / "build/gannetcourse").is_file():
            raise CannotRun("build/gannetcourse is missing: run the build of the deploy file")
        path = pathlib.Path(self.folder, "config.json")
        path.write_text(json.dumps(self.configuration), encoding="utf-8")
        told = {
            "NODE_NAME": self.name,
            "NODE_LISTEN": self.address,
            "NODE_DISCOVERY": self.discovery.address,
            "NODE_CONFIG": str(path),
            "TMPDIR": self.folder,
        }
        with open(f"{self.folder}/log", "w", encoding="utf-8") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env={**os.environ, **told}, stdout=log, stderr=log
            )
        end = time.monotonic() + READY_TIMEOUT
        while not await self.is_ready():
            if time.monotonic() > end or self.process.returncode is not None:
                raise CannotRun("the node did not become ready")
            await asyncio.sleep(0.1)
        self.record.write(self.name, f"ready at {self.address}")

    async def is_ready(self):
        try:
            reader, writer = await wire.connect(self.address)
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: backend.local\r\n\r\n")
            ready = (await wire.read_message(reader)).status == 200
            writer.close()
            return ready
        except (OSError, asyncio.IncompleteReadError):
            return False

    def memory_mb(self):
        """What the process holds: resident in all, and its private part without the pages of its program."""
        held = {"VmRSS": 0.0, "RssAnon": 0.0}
        for line in pathlib.Path(f"/proc/{self.pid}/status").read_text(encoding="utf-8").splitlines():
            name = line.split(":")[0]
            if name in held:
                held[name] = int(line.split()[1]) / 1024
        return held["VmRSS"], held["RssAnon"]

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()
        if os.environ.get("KEEP_LOGS"):
            shutil.copy(f"{self.folder}/log", os.environ["KEEP_LOGS"])
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, play, judge):
    """Plays a case and judges it. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(pathlib.Path(folder, "record.txt"))
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)  # it warns of writes to connections that a node has closed
    try:
        return judge(record, *asyncio.run(play(record)))
    except Exception as error:  # whatever goes wrong here tells nothing of the rule
        record.conclude(f"cannot run: {type(error).__name__}: {error}")
        return 2
