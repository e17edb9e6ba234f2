"""The platform of a case: the node's process and configuration, its discovery agents, and the record of the case.

All stand-ins of a case run on one asyncio loop; only the node is a process of its own. All addresses are loopback."""

import asyncio
import json
import os
import pathlib
import re
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEPT, BROKEN, NOT_RUN = 0, 1, 2  # exit codes
LONGEST_RUN = 110  # seconds
KEEPALIVE_INTERVAL = 2  # seconds between two empty lines of a watch, as the protocol page states
STARTUP_TIMEOUT = 30  # seconds


class CannotRun(Exception):
    """The case could not be played, so that it says nothing about the rule."""


class Record:
    """What was sent, answered and run, one line each, with the seconds since the start of the case."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", buffering=1, encoding="utf-8")
        self.started_at = time.monotonic()

    def now(self):
        return time.monotonic() - self.started_at

    def write(self, what, **fields):
        now = self.now()
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{now:9.3f} {what} {text}\n")
        return now


def free_ports(count):
    """Ports that were free a moment ago, all different."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def settings(classes=None, **family):
    """Settings of a small deployment, with the figures of the interface page's example."""
    return {
        "balancers": 1,
        "callers": {"marksRetry": True},
        "classes": classes or [a_class("field-query", 1.5, 6.0, 3.0), a_class("route-review", 3.0, 12.0, 1.0)],
        "family": "twostage",
        "familyInfo": {
            "aimUsPer1000PromptTokens": [40000.0, 40000.0],
            "kindMemoryTokens": [199619, 195239],
            "kindRole": ["read", "write"],
            "mayReserve": True,
            "pinLimitS": 1.0,
            "resume": False,
            "selfPrefill": False,
            "tokenAimS": [0.06, 0.08],
            "transferPrice": 0.02,
            **family,
        },
        "kinds": ["prefill", "decode"],
        "layers": ["model-fleet"],
        "limits": {
            "connIdleS": 15.0,
            "connectTimeoutS": 0.25,
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
        "reporting": {"fields": [], "via": "silent"},
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
        "tariffs": {"probe": 0.0},
        "tenants": [],
        "tickS": 0.004,
        "weightKind": "silent",
        "worthBy": "work",
        "zone": "kelaniya",
        "zones": ["kelaniya"],
    }


def a_class(name, aim, deadline, worth, idempotency="idempotent"):
    return {
        "aimS": aim,
        "deadlineS": deadline,
        "dedupWindowS": 5.0,
        "group": "all",
        "idempotency": idempotency,
        "lateWorth": 0.1,
        "name": name,
        "stream": True,
        "worth": worth,
    }


def entry(name, port, kind, status="up"):
    """One engine as discovery lists it."""
    return {
        "name": name,
        "address": f"127.0.0.1:{port}",
        "zone": "kelaniya",
        "type": kind,
        "group": 0,
        "status": status,
        "weight": 1.0,
        "since_ms": 0,
    }


class Agent:
    """The discovery agent on the node's machine: watches of the list, one JSON object a line, in the protocol's form.

    `delay`: how long a new watch waits for its first word; 0 = it replies at once."""

    def __init__(self, record, name, entries, index):
        self.record, self.name, self.index = record, name, index
        self.entries = {e["name"]: dict(e) for e in entries}
        self.changed_at = {}  # engine: index of its last change
        self.watches = []
        self.silent = set()  # watches that get nothing any more, though they stay open
        self.delay = 0
        self.told_at = {}  # (engine, status): when it was first written to the node
        self.server = None

    async def listen(self, port):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            start = int(re.search(r"from=(\d+)", head).group(1))
            self.record.write("watch opened", agent=self.name, start=start)
            if self.delay:
                await asyncio.sleep(self.delay)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.tell_since(writer, start)
            self.watches.append(writer)
            await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError, AttributeError):
            pass
        finally:
            if writer in self.watches:
                self.watches.remove(writer)
            self.record.write("watch ended", agent=self.name)
            writer.close()

    def tell_since(self, writer, start):
        """The first object of a watch: what changed after version `start`, or the full list."""
        if 0 < start <= self.index:
            changed = [e for e in self.entries.values() if self.changed_at.get(e["name"], 0) > start]
            return self.tell(writer, changed, False) if changed else self.send(writer, b"\n")
        return self.tell(writer, list(self.entries.values()), True)

    def tell(self, writer, entries, snapshot):
        text = json.dumps({"index": self.index, "snapshot": snapshot, "endpoints": entries})
        self.send(writer, text.encode() + b"\n")
        states = ",".join(f"{e['name']}:{e['status']}" for e in entries)
        now = self.record.write("list told", agent=self.name, index=self.index, snapshot=snapshot, engines=states)
        for one in entries:
            self.told_at.setdefault((one["name"], one["status"]), now)

    @staticmethod
    def send(writer, data):
        writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    def change(self, engine, status):
        """A change that the agent learns now; open watches are told at once."""
        self.index += 1
        self.entries[engine]["status"] = status
        self.changed_at[engine] = self.index
        self.record.write("agent learns", agent=self.name, index=self.index, engine=engine, status=status)
        for writer in self.watches:
            if writer not in self.silent:
                self.tell(writer, [self.entries[engine]], False)

    def silence(self):
        """All open watches fall silent: they stay open and get nothing any more."""
        self.silent.update(self.watches)
        self.record.write("watches fall silent", agent=self.name, watches=len(self.watches))

    async def keep_alive(self):
        while True:
            await asyncio.sleep(KEEPALIVE_INTERVAL)
            for writer in self.watches:
                if writer not in self.silent:
                    self.send(writer, b"\n")

    async def retire(self, after):
        """As after a new configuration: no new connection, and the open ones are closed `after` seconds."""
        self.server.close()
        await asyncio.sleep(after)
        for writer in list(self.watches):
            writer.close()


class Node:
    """One node, started by the `run` line of the deploy file."""

    def __init__(self, record, options, known, index, port, discovery_port, memory_mb=192, sockets=1024):
        self.record, self.port = record, port
        self.folder = tempfile.TemporaryDirectory()
        self.path = pathlib.Path(self.folder.name) / "config.json"
        self.configuration = {
            "name": "n0",
            "listen": f"127.0.0.1:{port}",
            "discovery": f"127.0.0.1:{discovery_port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": {"index": index, "snapshot": True, "endpoints": known},
            "settings": options,
        }
        self.process = None
        self.log = open(pathlib.Path(self.folder.name) / "node.log", "wb")

    async def start(self):
        self.write_configuration()
        run = re.search(r'^run = "(.*)"$', (ROOT / "deploy/balancer.toml").read_text("utf-8"), re.MULTILINE).group(1)
        if not (ROOT / "build/gannetcourse").exists():
            raise CannotRun("build/gannetcourse is missing: make the build of deploy/balancer.toml first")
        environment = {
            **os.environ,
            "NODE_NAME": "n0",
            "NODE_LISTEN": self.configuration["listen"],
            "NODE_DISCOVERY": self.configuration["discovery"],
            "NODE_CONFIG": str(self.path),
            "TMPDIR": self.folder.name,
        }
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log
        )
        return self.record.write("node started")

    def write_configuration(self):
        new = self.path.with_suffix(".new")
        new.write_text(json.dumps(self.configuration), encoding="utf-8")
        new.replace(self.path)

    async def wait_until_ready(self):
        end = time.monotonic() + STARTUP_TIMEOUT
        while time.monotonic() < end and self.process.returncode is None:
            if await self.is_ready():
                return self.record.write("node is ready")
            await asyncio.sleep(0.02)
        raise CannotRun("the node did not become ready")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return False
        try:
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")
            return b" 200 " in await asyncio.wait_for(reader.readline(), 2)
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    def send_signal(self, number):
        self.process.send_signal(number)
        return self.record.write("signal to the node", signal=signal.Signals(number).name)

    async def stop(self):
        if self.process is None:
            return
        self.record.write("node at the end", exit_code=self.process.returncode)
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def cancel(tasks):
    """Ends the tasks and waits until they have ended."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def play(folder, case):
    """Plays `case(record)`, a coroutine that returns the breaks of the rule that it saw, and ends the process."""
    record = Record(folder)

    async def guarded():
        return await asyncio.wait_for(case(record), LONGEST_RUN)

    try:
        breaks = asyncio.run(guarded())
    except Exception as error:  # whatever fails here says nothing about the rule
        record.write("could not run", why=repr(error))
        print(f"could not run: {error!r}")
        sys.exit(NOT_RUN)
    for line in breaks:
        record.write("BREAK", seen=line)
    verdict = "broken" if breaks else "held"
    record.write("the rule was " + verdict, breaks=len(breaks))
    print(f"{'with' if TROUBLE else 'without'} the disruption: the rule was {verdict}, breaks: {len(breaks)}")
    sys.exit(BROKEN if breaks else KEPT)
