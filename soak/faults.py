"""Injects faults into nodes, engines, network paths and discovery; the seed determines which and when."""

import errno
import signal
import socket
import time

import paths
import shim

CROWD_SIZE = 200  # connections; more than the 127 that a node of the soak accepts from clients
MIN_UPTIME_BEFORE_RELOAD = 1.0  # seconds; the platform sends no SIGHUP in the first second after a start


class FaultInjector:
    """Starts faults of the kinds that weighted_kinds() lists, and schedules the end of those that last."""

    def __init__(self, fleet, schedule, seed):
        self.fleet, self.random, self.log = fleet, fleet.random, fleet.log
        self.run_after = schedule.run_after
        self.clock_step = {n: 0 for n in fleet.nodes}  # milliseconds added to each node's wall clock
        self.crowds = 0
        self.changed_paths = set()  # engines whose paths a fault has changed
        self.kinds = self.weighted_kinds(seed)

    def inject(self):
        """Starts one random fault and schedules its end."""
        self.random.choice(self.kinds)()

    def inject_mandatory(self):
        """Schedules the faults that every run contains, however short."""
        plans = self.fleet.fault_plans
        for plan in plans.values():
            plan.fail("receive", errno.EINTR, 300)
        self.run_after(0.5, lambda: [plan.fail("receive", 0, 0) for plan in plans.values()])
        self.run_after(1, self.silence_engine_group)
        self.run_after(1.3, self.terminate)
        self.run_after(3, self.open_crowd)

    def weighted_kinds(self, seed):
        """All kinds of fault. The seed selects kinds that are listed several times, to draw them more often."""
        kinds = [
            self.fail_system_calls,
            self.fail_system_calls,
            self.fail_system_calls,
            self.stall_sends,
            self.shorten_transfers,
            self.step_clock,
            self.terminate,
            self.kill_node,
            self.reload,
            self.reload_truncated_file,
            self.drain_engine,
            self.crash_engine,
            self.stop_engine,
            self.disturb_path,
            self.disturb_path,
            self.silence_engine_group,
            self.disturb_discovery,
            self.open_crowd,
        ]
        frequent_groups = [
            [],
            [self.silence_engine_group, self.silence_engine_group, self.stop_engine, self.disturb_path],
            [self.terminate_series, self.reload_series, self.terminate_during_silence],
            [self.open_crowd, self.open_crowd, self.silence_engine_group],
        ]
        return kinds + 2 * frequent_groups[seed % len(frequent_groups)]

    # ---- System calls and clock of a node ----
    def fail_system_calls(self):
        node = self.fleet.random_running_node()
        if node is None:
            return
        call, error, per_mille = self.random.choice(shim.FAULTS)
        length = self.random.uniform(0.05, 1.5)
        self.log.write("system_calls", node=node, call=call, error=error, length=length)
        self.fleet.fault_plans[node].fail(call, error, per_mille)
        self.run_after(length, lambda: self.fleet.fault_plans[node].fail(call, 0, 0))

    def set_switches(self, node, **switches):
        self.fleet.fault_plans[node].set_switches(**switches, clock_step_ms=self.clock_step[node])

    def stall_sends(self):
        """Delays some calls of send(), as on a machine that pauses."""
        node = self.fleet.random_running_node()
        if node is not None:
            self.log.write("stall", node=node)
            self.set_switches(node, stall_ms=150, stall=20)
            self.run_after(1, lambda: self.set_switches(node))

    def shorten_transfers(self):
        node = self.fleet.random_running_node()
        if node is not None:
            self.set_switches(node, short=500, interrupted=5)
            self.run_after(2, lambda: self.set_switches(node))

    def step_clock(self):
        """Sets the wall clock of a node 1 h back, 1 h ahead, or to the correct time."""
        node = self.fleet.random_running_node()
        if node is not None:
            self.clock_step[node] = self.random.choice([-3600000, 0, 3600000])
            self.log.write("clock", node=node, step=self.clock_step[node])
            self.set_switches(node)

    # ---- Process of a node ----
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
            grace_left = time.monotonic() - signalled_at < self.fleet.deployment.shutdown_grace
            if process.poll() is None and grace_left:
                self.run_after(0.02, check)
            else:
                self.fleet.end_node(node, process, signalled_at)

        check()

    def repeat_fault(self, fault, times):
        for i in range(times):
            self.run_after(i * self.random.uniform(0.05, 0.5), fault)

    def terminate_series(self):
        self.repeat_fault(self.terminate, 2)

    def reload_series(self):
        self.repeat_fault(self.reload, 4)

    def terminate_during_silence(self):
        self.silence_engine_group()
        self.run_after(self.random.uniform(0.1, 0.6), self.terminate)

    def kill_node(self):
        node = self.fleet.random_running_node()
        if node is None:
            return
        self.log.write("sigkill", node=node)
        self.fleet.node_process[node].kill()
        self.fleet.node_process[node].wait()
        self.fleet.node_process[node] = None
        self.run_after(0.3, lambda: self.fleet.start_node(node))

    def reloadable_node(self):
        """A random running node; None if it started less than MIN_UPTIME_BEFORE_RELOAD ago."""
        node = self.fleet.random_running_node()
        just_started = node is not None and time.monotonic() - self.fleet.started_at[node] < MIN_UPTIME_BEFORE_RELOAD
        return None if just_started else node

    def reload(self):
        node = self.reloadable_node()
        if node is not None:
            self.fleet.write_configuration(node, self.random.choice([0.8, 1.0, 1.2]))
            self.log.write("sighup", node=node)
            self.fleet.node_process[node].send_signal(signal.SIGHUP)

    def reload_truncated_file(self):
        """Sends SIGHUP while the configuration file is only half written."""
        node = self.reloadable_node()
        if node is None:
            return
        path = self.fleet.configuration_path(node)
        complete = path.read_text(encoding="utf-8")
        path.write_text(complete[: len(complete) // 2], encoding="utf-8")
        self.fleet.node_process[node].send_signal(signal.SIGHUP)
        self.run_after(0.2, lambda: path.write_text(complete, encoding="utf-8"))

    # ---- Engines ----
    def drain_engine(self):
        candidates = self.fleet.engines_up()
        if len(candidates) < len(self.fleet.roles) - 2:
            return
        engine = self.random.choice(candidates)
        self.fleet.set_engine_status(engine, self.random.choice(["draining", "removed"]))
        self.run_after(3, lambda: self.fleet.set_engine_status(engine, "up", int(time.time() * 1000)))

    def crash_engine(self):
        engine = self.random.choice(list(self.fleet.roles))
        process = self.fleet.engine_process[engine]
        if process.poll() is not None:
            return  # already down; its restart is scheduled
        self.log.write("engine_down", engine=engine)
        self.log.write("engine_continued", engine=engine)  # SIGKILL also ends a stopped process
        process.kill()
        process.wait()

        def restart():
            self.fleet.start_engine(engine)
            status = self.fleet.entries[engine]["status"]
            self.fleet.set_engine_status(engine, status, int(time.time() * 1000))

        self.run_after(self.random.uniform(0.2, 2), restart)

    def stop_engine(self):
        """Stops an engine's process with SIGSTOP and resumes it later. Meanwhile the kernel still accepts
        connections and data for it."""
        engine = self.random.choice(list(self.fleet.roles))
        process = self.fleet.engine_process[engine]
        self.log.write("engine_stopped", engine=engine)
        process.send_signal(signal.SIGSTOP)

        def resume():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
            self.log.write("engine_continued", engine=engine)

        self.run_after(self.random.uniform(0.3, 3), resume)

    # ---- Paths between nodes, engines, discovery and clients ----
    def set_path_mode(self, engine, mode):
        self.fleet.send_command(self.fleet.proxy_of(engine), engine=engine, mode=mode)

    def disturb_path(self):
        engine = self.random.choice(list(self.fleet.roles))
        mode = self.random.choice(["reset", "slow", "hold", *paths.SILENT_MODES])
        if mode == "reset":
            self.set_path_mode(engine, mode)
        else:
            self.change_paths([engine], mode, self.random.uniform(0.3, 3))

    def change_paths(self, engines, mode, seconds):
        """Sets the mode of the engines' paths, except those that another fault has changed already."""
        engines = [e for e in engines if e not in self.changed_paths]
        self.changed_paths.update(engines)
        for engine in engines:
            self.set_path_mode(engine, mode)

        def restore():
            self.changed_paths.difference_update(engines)
            for engine in engines:
                self.set_path_mode(engine, "pass")

        self.run_after(seconds, restore)

    def silence_engine_group(self):
        """Silences the paths of all engines of a role, of all engines but one, or of all engines at once."""
        all_engines = list(self.fleet.roles)
        decode_engines = [e for e in all_engines if e.startswith("w")]
        prefill_engines = [e for e in all_engines if e.startswith("r")]
        most = self.random.sample(all_engines, len(all_engines) - 1)
        group = self.random.choice([decode_engines, prefill_engines, most, all_engines])
        mode = self.random.choice(["hold", *paths.SILENT_MODES])
        self.change_paths(group, mode, self.random.uniform(0.5, 3.5))

    def open_crowd(self):
        """Opens more connections than a node accepts, and sends nothing on them."""
        node = self.fleet.random_running_node()
        if node is None:
            return
        self.crowds += 1
        self.log.write("crowd", node=node)
        connections = []
        for _ in range(CROWD_SIZE):
            try:
                connections.append(socket.create_connection(("127.0.0.1", self.fleet.node_port[node]), 0.2))
            except OSError:
                break

        def close_all():
            for connection in connections:
                connection.close()

        self.run_after(2, close_all)

    def disturb_discovery(self):
        kind = self.random.choice(["silent", "reset", "down"])
        self.fleet.send_command(self.fleet.discovery, do=kind, **{"for": self.random.uniform(0.5, 2)})
