"""Starts and stops the processes of a soak (nodes, engines, discovery, fault proxies and clients), assigns their ports
and writes the configuration files."""

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

import audit
import shim
from node_settings import settings_of

PROGRAM, SHIM = "gannetcourse", "libgannetcourse_fault_shim_preload.so"
HERE = pathlib.Path(__file__).resolve().parent
NODES, PREFILL_ENGINES, DECODE_ENGINES, CLIENTS, PROXIES = 5, 4, 4, 4, 2
STARTUP_TIMEOUT = 20  # seconds
SIGNAL_SETUP_TIME = 0.5  # seconds from its start until a process has installed its signal handlers


def reserve_ports(count):
    """Binds sockets to ports that the kernel chooses. The sockets never listen. While they are open, the kernel gives
    their ports to no outgoing connection, so a server can always be restarted on its port."""
    holders = []
    for _ in range(count):
        holder = socket.socket()
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind(("127.0.0.1", 0))
        holders.append(holder)
    return holders


class Fleet:
    """All processes of one run. Owns the reserved ports, the fault plans and the engine list that discovery serves."""

    def __init__(self, options, folder, deployment, random, log):
        self.options, self.folder, self.deployment = options, folder, deployment
        self.random, self.log = random, log
        self.nodes = [f"n{i}" for i in range(NODES)]
        self.roles = {f"r{i}": "prefill" for i in range(PREFILL_ENGINES)} | {
            f"w{i}": "decode" for i in range(DECODE_ENGINES)
        }
        self.assign_ports()
        self.entries = {
            e: {
                "zone": "north",
                "type": self.roles[e],
                "group": 0,
                "status": "up",
                "weight": 1.0,
                "since_ms": 0,
            }
            for e in self.roles
        }
        self.fault_plans = {n: shim.FaultPlan(f"{folder}/{n}.faults") for n in self.nodes}
        self.node_process = {}  # None while a node is down
        self.engine_process, self.proxies, self.clients = {}, [], []
        self.started_at = {}
        self.discovery = None
        self.crashes = []

    def assign_ports(self):
        engines = list(self.roles)
        self.port_holders = reserve_ports(2 * NODES + len(engines) + NODES * len(engines))
        ports = iter([holder.getsockname()[1] for holder in self.port_holders])
        self.node_port = {n: next(ports) for n in self.nodes}
        self.watch_port = {n: next(ports) for n in self.nodes}
        self.engine_port = {e: next(ports) for e in engines}
        self.pair_port = {(n, e): next(ports) for n in self.nodes for e in engines}

    # ---- Start and stop ----
    def start(self):
        for engine in self.roles:
            self.start_engine(engine)
        self.start_discovery()
        self.start_proxies()
        self.wait_for_events("up", len(self.roles) + 1 + PROXIES)
        for node in self.nodes:
            self.start_node(node)
        for node in self.nodes:
            self.wait_until_ready(node)
        self.start_clients()

    def start_discovery(self):
        addresses = {n: {e: f"127.0.0.1:{self.pair_port[n, e]}" for e in self.roles} for n in self.nodes}
        plan = {"nodes": self.watch_port, "entries": self.entries, "addresses": addresses}
        self.discovery = self.start_script("discovery.py", json.dumps(plan), takes_commands=True)

    def start_proxies(self):
        for i in range(PROXIES):
            engines = list(self.roles)[i::PROXIES]
            routes = [[n, e, self.pair_port[n, e], self.engine_port[e]] for n in self.nodes for e in engines]
            process = self.start_script("proxy.py", f"proxy{i}", json.dumps(routes), takes_commands=True)
            self.proxies.append((engines, process))

    def start_clients(self):
        for i in range(CLIENTS):
            seed = self.random.getrandbits(32)
            budgets = json.dumps(self.deployment.budgets_ms)
            ports = json.dumps(self.node_port)
            self.clients.append(self.start_script("client.py", f"c{i}", ports, self.options.seconds, seed, budgets))

    def start_script(self, script, *arguments, takes_commands=False):
        return subprocess.Popen(
            [sys.executable, str(HERE / script), str(self.folder), *map(str, arguments)],
            stdin=subprocess.PIPE if takes_commands else subprocess.DEVNULL,
            text=True,
            stdout=subprocess.DEVNULL,
            stderr=open(f"{self.folder}/stand-ins.err", "a", encoding="utf-8"),
        )

    def wait_for_events(self, event, count):
        end = time.monotonic() + STARTUP_TIMEOUT
        while sum(1 for e in audit.load_events(self.folder) if e["what"] == event) < count:
            if time.monotonic() > end:
                raise RuntimeError(
                    f"engines, discovery or proxies did not start in time: see {self.folder}/stand-ins.err"
                )
            time.sleep(0.1)

    def stop(self):
        processes = [
            *self.node_process.values(),
            *self.engine_process.values(),
            self.discovery,
            *(process for _, process in self.proxies),
            *self.clients,
        ]
        for process in processes:
            if process is not None and process.poll() is None:
                process.kill()
        for process in processes:
            if process is not None:
                process.wait()

    # ---- Engines ----
    def start_engine(self, engine):
        seed = self.random.getrandbits(32)
        self.engine_process[engine] = self.start_script(
            "engine.py", engine, self.roles[engine], self.engine_port[engine], seed
        )

    def set_engine_status(self, engine, status, since_ms=None):
        """Changes the status of an engine that discovery reports."""
        entry = self.entries[engine]
        entry["status"] = status
        entry["since_ms"] = entry["since_ms"] if since_ms is None else since_ms
        self.send_command(self.discovery, do="entry", engine=engine, status=status, since_ms=entry["since_ms"])

    def engines_up(self):
        return [e for e in self.roles if self.entries[e]["status"] == "up"]

    def proxy_of(self, engine):
        return next(process for engines, process in self.proxies if engine in engines)

    @staticmethod
    def send_command(process, **command):
        process.stdin.write(json.dumps(command) + "\n")
        process.stdin.flush()

    # ---- Nodes ----
    def configuration_path(self, node):
        return pathlib.Path(f"{self.folder}/{node}.json")

    def write_configuration(self, node, objective_factor=1.0):
        known = [
            {**self.entries[e], "name": e, "address": f"127.0.0.1:{self.pair_port[node, e]}"} for e in self.entries
        ]
        configuration = {
            "name": node,
            "listen": f"127.0.0.1:{self.node_port[node]}",
            "discovery": f"127.0.0.1:{self.watch_port[node]}",
            "seed": f"{self.random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
            "known": {"index": 1, "snapshot": True, "endpoints": known},
            "settings": settings_of(self.deployment, NODES, objective_factor),
        }
        self.configuration_path(node).write_text(json.dumps(configuration), encoding="utf-8")

    def start_node(self, node):
        self.write_configuration(node)
        environment = {
            **os.environ,
            "NODE_CONFIG": str(self.configuration_path(node)),
            "FAULT_PLAN": f"{self.folder}/{node}.faults",
            "LD_PRELOAD": f"{self.options.build}/{SHIM}",
            "ASAN_OPTIONS": "verify_asan_link_order=0",  # the preloaded shim precedes the AddressSanitizer runtime
        }
        log = open(f"{self.folder}/{node}.log", "a", encoding="utf-8")
        self.node_process[node] = subprocess.Popen(
            [f"{self.options.build}/{PROGRAM}", "platform", "--records"],
            env=environment,
            stderr=log,
            stdout=log,
        )
        self.started_at[node] = time.monotonic()
        self.log.write("node_up", node=node)

    def wait_until_ready(self, node):
        end = time.monotonic() + STARTUP_TIMEOUT
        while time.monotonic() < end:
            if self.is_ready(node):
                return
            time.sleep(0.05)
        raise RuntimeError(f"{node} did not become ready")

    def is_ready(self, node):
        try:
            with socket.create_connection(("127.0.0.1", self.node_port[node]), 0.5) as connection:
                connection.sendall(b"GET /-/ready HTTP/1.1\r\n\r\n")
                return b" 200 " in connection.recv(100)
        except OSError:
            return False

    def random_running_node(self):
        """A random running node; None if at most half of the nodes are running."""
        running = [n for n in self.nodes if self.node_process[n] is not None]
        return self.random.choice(running) if len(running) > NODES // 2 else None

    def end_node(self, node, process, signalled_at):
        """Kills a node that did not exit within its grace period, checks its exit code, and restarts it."""
        if process.poll() is None:
            self.log.write("sigkill", node=node)
            process.kill()
        # Ending by SIGTERM is allowed for a process that may not have installed its handler yet.
        just_started = signalled_at - self.started_at[node] < SIGNAL_SETUP_TIME
        allowed = (0, -signal.SIGKILL, *([-signal.SIGTERM] if just_started else []))
        if process.wait() not in allowed:
            self.record_crash(node, process.returncode)
        self.log.write("node_down", node=node)
        self.start_node(node)

    def record_crash(self, node, code):
        self.crashes.append(f"crash: {node} ended with {code}")

    def take_crashed_nodes(self):
        """Returns the nodes that exited on their own since the last call, and marks them as down."""
        crashed = []
        for node, process in self.node_process.items():
            if process is not None and process.poll() is not None:
                self.record_crash(node, process.returncode)
                self.node_process[node] = None
                self.log.write("sigkill", node=node)
                self.log.write("node_down", node=node)
                crashed.append(node)
        return crashed

    def failed_calls(self):
        """The number of system calls that failed on purpose, by name of the call."""
        failures = {}
        for plan in self.fault_plans.values():
            for call, count in plan.failures().items():
                failures[call] = failures.get(call, 0) + count
        return failures
