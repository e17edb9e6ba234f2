"""The faults of a soak: what is done to nodes, engines, paths and discovery, at random by the seed."""

import errno
import signal
import socket
import time

import paths
import shim

CROWD = 200  # connections; a node here may hold 127 of clients
RELOADS_FROM = 1.0  # seconds after its start: "SIGHUP never comes in its first second" (the days that count now)


class FaultInjector:
    def __init__(self, fleet, schedule, seed):
        self.fleet, self.random, self.log = fleet, fleet.random, fleet.log
        self.later = schedule.later
        self.clock_step = {n: 0 for n in fleet.nodes}  # milliseconds
        self.crowds = 0
        self.changed_paths = set()  # engines whose paths a fault has changed
        self.kinds = self.weighted_kinds(seed)

    def inject(self):
        """Starts one fault; it ends by the schedule."""
        self.random.choice(self.kinds)()

    def inject_mandatory(self):
        """The faults that even a short run has to contain."""
        plans = self.fleet.plans
        for plan in plans.values():
            plan.fail("receive", errno.EINTR, 300)
        self.later(0.5, lambda: [plan.fail("receive", 0, 0) for plan in plans.values()])
        self.later(1, self.silence_many)
        self.later(1.3, self.terminate)
        self.later(3, self.crowd)

    def weighted_kinds(self, seed):
        """All kinds, and by the seed one group of them more often."""
        kinds = [
            self.system_calls,
            self.system_calls,
            self.system_calls,
            self.stall,
            self.short_transfers,
            self.clock,
            self.terminate,
            self.kill_node,
            self.reload,
            self.torn_reload,
            self.drain_engine,
            self.crash_engine,
            self.stop_engine,
            self.proxy_mode,
            self.proxy_mode,
            self.silence_many,
            self.watch_fault,
            self.crowd,
        ]
        emphases = [
            [],
            [self.silence_many, self.silence_many, self.stop_engine, self.proxy_mode],
            [self.terminate_series, self.reload_series, self.terminate_in_silence],
            [self.crowd, self.crowd, self.silence_many],
        ]
        return kinds + 2 * emphases[seed % len(emphases)]

    # ---- A node's machine ----
    def system_calls(self):
        node = self.fleet.random_running_node()
        if node is None:
            return
        call, error, per_mille = self.random.choice(shim.FAULTS)
        length = self.random.uniform(0.05, 1.5)
        self.log.write("system_calls", node=node, call=call, error=error, length=length)
        self.fleet.plans[node].fail(call, error, per_mille)
        self.later(length, lambda: self.fleet.plans[node].fail(call, 0, 0))

    def set_switches(self, node, **switches):
        self.fleet.plans[node].set_switches(**switches, clock_step_ms=self.clock_step[node])

    def stall(self):
        """The machine stands still before some sends."""
        node = self.fleet.random_running_node()
        if node is not None:
            self.log.write("stall", node=node)
            self.set_switches(node, stall_ms=150, stall=20)
            self.later(1, lambda: self.set_switches(node))

    def short_transfers(self):
        node = self.fleet.random_running_node()
        if node is not None:
            self.set_switches(node, short=500, interrupted=5)
            self.later(2, lambda: self.set_switches(node))

    def clock(self):
        """A step of the wall clock."""
        node = self.fleet.random_running_node()
        if node is not None:
            self.clock_step[node] = self.random.choice([-3600000, 0, 3600000])
            self.log.write("clock", node=node, step=self.clock_step[node])
            self.set_switches(node)

    # ---- A node's process ----
    def terminate(self):
        node = self.fleet.random_running_node()
        if node is None:
            return
        process = self.fleet.node_process[node]
        self.log.write("sigterm", node=node)
        process.send_signal(signal.SIGTERM)
        self.fleet.node_process[node] = None
        signalled_at = time.monotonic()

        def check():
            grace_left = time.monotonic() - signalled_at < self.fleet.deployment.grace
            if process.poll() is None and grace_left:
                self.later(0.02, check)
            else:
                self.fleet.end_node(node, process, signalled_at)

        check()

    def in_series(self, fault, times):
        for i in range(times):
            self.later(i * self.random.uniform(0.05, 0.5), fault)

    def terminate_series(self):
        self.in_series(self.terminate, 2)

    def reload_series(self):
        self.in_series(self.reload, 4)

    def terminate_in_silence(self):
        self.silence_many()
        self.later(self.random.uniform(0.1, 0.6), self.terminate)

    def kill_node(self):
        node = self.fleet.random_running_node()
        if node is None:
            return
        self.log.write("sigkill", node=node)
        self.fleet.node_process[node].kill()
        self.fleet.node_process[node].wait()
        self.fleet.node_process[node] = None
        self.later(0.3, lambda: self.fleet.start_node(node))

    def reloadable_node(self):
        """None where the one that was drawn has only just started."""
        node = self.fleet.random_running_node()
        young = node is not None and time.monotonic() - self.fleet.started_at[node] < RELOADS_FROM
        return None if young else node

    def reload(self):
        node = self.reloadable_node()
        if node is not None:
            self.fleet.write_configuration(node, self.random.choice([0.8, 1.0, 1.2]))
            self.log.write("sighup", node=node)
            self.fleet.node_process[node].send_signal(signal.SIGHUP)

    def torn_reload(self):
        """The file is still being written when the signal comes."""
        node = self.reloadable_node()
        if node is None:
            return
        path = self.fleet.configuration_path(node)
        complete = path.read_text(encoding="utf-8")
        path.write_text(complete[: len(complete) // 2], encoding="utf-8")
        self.fleet.node_process[node].send_signal(signal.SIGHUP)
        self.later(0.2, lambda: path.write_text(complete, encoding="utf-8"))

    # ---- Engines ----
    def drain_engine(self):
        candidates = self.fleet.engines_up()
        if len(candidates) < len(self.fleet.roles) - 2:
            return
        engine = self.random.choice(candidates)
        self.fleet.set_engine_status(engine, self.random.choice(["draining", "removed"]))
        self.later(3, lambda: self.fleet.set_engine_status(engine, "up", int(time.time() * 1000)))

    def crash_engine(self):
        engine = self.random.choice(list(self.fleet.roles))
        process = self.fleet.engine_process[engine]
        if process.poll() is not None:
            return  # it is down already, and will be back
        self.log.write("engine_down", engine=engine)
        self.log.write("engine_continued", engine=engine)  # a stopped process is killed as well
        process.kill()
        process.wait()

        def restart():
            self.fleet.start_engine(engine)
            status = self.fleet.entries[engine]["status"]
            self.fleet.set_engine_status(engine, status, int(time.time() * 1000))

        self.later(self.random.uniform(0.2, 2), restart)

    def stop_engine(self):
        """Its kernel goes on taking bytes while its process stands still."""
        engine = self.random.choice(list(self.fleet.roles))
        process = self.fleet.engine_process[engine]
        self.log.write("engine_stopped", engine=engine)
        process.send_signal(signal.SIGSTOP)

        def resume():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
            self.log.write("engine_continued", engine=engine)

        self.later(self.random.uniform(0.3, 3), resume)

    # ---- Paths between nodes, engines, discovery and clients ----
    def set_path_mode(self, engine, mode):
        self.fleet.send_command(self.fleet.proxy_of(engine), engine=engine, mode=mode)

    def proxy_mode(self):
        engine = self.random.choice(list(self.fleet.roles))
        mode = self.random.choice(["reset", "slow", "hold", *paths.SILENT_MODES])
        if mode == "reset":
            self.set_path_mode(engine, mode)
        else:
            self.change_paths([engine], mode, self.random.uniform(0.3, 3))

    def change_paths(self, engines, mode, seconds):
        """Paths that another fault has changed already are left to it."""
        engines = [e for e in engines if e not in self.changed_paths]
        self.changed_paths.update(engines)
        for engine in engines:
            self.set_path_mode(engine, mode)

        def restore():
            self.changed_paths.difference_update(engines)
            for engine in engines:
                self.set_path_mode(engine, "pass")

        self.later(seconds, restore)

    def silence_many(self):
        """A role, most engines or all of them fall silent together."""
        everyone = list(self.fleet.roles)
        decode_engines = [e for e in everyone if e.startswith("w")]
        prefill_engines = [e for e in everyone if e.startswith("r")]
        most = self.random.sample(everyone, len(everyone) - 1)
        group = self.random.choice([decode_engines, prefill_engines, most, everyone])
        mode = self.random.choice(["hold", *paths.SILENT_MODES])
        self.change_paths(group, mode, self.random.uniform(0.5, 3.5))

    def crowd(self):
        """More silent connections than a node may hold."""
        node = self.fleet.random_running_node()
        if node is None:
            return
        self.crowds += 1
        self.log.write("crowd", node=node)
        crowd = []
        for _ in range(CROWD):
            try:
                crowd.append(socket.create_connection(("127.0.0.1", self.fleet.node_port[node]), 0.2))
            except OSError:
                break

        def close_all():
            for connection in crowd:
                connection.close()

        self.later(2, close_all)

    def watch_fault(self):
        kind = self.random.choice(["silent", "reset", "down"])
        self.fleet.send_command(self.fleet.discovery, do=kind, **{"for": self.random.uniform(0.5, 2)})
