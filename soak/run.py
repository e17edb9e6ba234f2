#!/usr/bin/env python3
"""A randomized soak test of real processes on loopback. System calls of the nodes fail, nodes are signalled and
reloaded, a fault proxy disturbs their connections to engines, and engines, discovery and clients misbehave, with two or
three faults at a time. An audit of the traffic that all processes logged decides whether the run passes.

usage: run.py --seed N [--seconds S] [--build FOLDER] [--keep FOLDER]

Prints one line per violation, then one with the counts. The exit code is 0 only if there was no violation and the run
contained every required kind of load and fault.
"""

import argparse
import pathlib
import random
import shutil
import sys
import tempfile
import time

import audit
import deployments
from faults import FaultInjector
from fleet import HERE, PROGRAM, SHIM, Fleet
from schedule import Schedule
from wire import EventLog

FAULT_FREE_PERIOD = 2  # seconds at the end of the run in which no fault starts
WAIT_FOR_LAST_RESPONSES = 2  # seconds after the longest deadline for which the run waits for responses


class Soak:
    """One run: faults at random intervals while the clients send requests."""

    def __init__(self, options, folder):
        self.options = options
        self.random = random.Random(options.seed)
        self.deployment = deployments.by_seed(options.seed)
        self.deployment.save(folder)
        self.schedule = Schedule()
        self.fleet = Fleet(options, folder, self.deployment, self.random, EventLog(folder, "soak"))
        self.faults = FaultInjector(self.fleet, self.schedule, options.seed)

    def restart_crashed_nodes(self):
        for node in self.fleet.take_crashed_nodes():
            self.schedule.run_after(0.2, lambda node=node: self.fleet.start_node(node))

    def run(self):
        end = time.monotonic() + self.options.seconds
        self.faults.inject_mandatory()
        next_fault = time.monotonic() + 1
        last_response = end + self.deployment.longest_deadline + WAIT_FOR_LAST_RESPONSES
        while time.monotonic() < last_response and any(c.poll() is None for c in self.fleet.clients):
            now = time.monotonic()
            self.schedule.run_due(now)
            if now >= next_fault and now < end - FAULT_FREE_PERIOD:
                self.faults.inject()
                next_fault = now + self.random.uniform(0.1, 0.7)
            self.restart_crashed_nodes()
            time.sleep(0.02)


def missing_load(folder, failures):
    """Reports required kinds of load and fault that did not occur, so that a run without them fails."""
    counts = audit.count_events(folder)
    for what in ("requested", "responded", "began", "held", "released", "mode", "sigterm"):
        if counts[what] == 0:
            yield f"not played: no event '{what}'"
    if not failures:
        yield "not played: no system call was made to fail"


def parse_options():
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n", maxsplit=1)[0])
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--build", default=str(HERE.parent / "build"))
    parser.add_argument("--keep", help="folder for the logs; by default they are deleted unless there was a violation")
    options = parser.parse_args()
    for part in (PROGRAM, SHIM):
        if not pathlib.Path(options.build, part).is_file():
            parser.error(f"{options.build}/{part} is missing: configure with GANNETCOURSE_LAB=ON and build")
    return options


def report(options, folder, soak):
    """Prints the violations and the counts. Returns the violations."""
    failures = soak.fleet.failed_calls()
    violations = soak.fleet.crashes + audit.find_violations(folder) + list(missing_load(folder, failures))
    for line in violations:
        print(f"seed {options.seed}: {line}")
    logs = f" logs={folder}" if violations or options.keep else ""
    print(
        f"seed {options.seed}: deployment={soak.deployment.name} broken={len(violations)} {audit.summary(folder)} "
        f"crowds={soak.faults.crowds} failed_calls={failures}{logs}"
    )
    return violations


def main():
    options = parse_options()
    folder = options.keep or tempfile.mkdtemp(prefix=f"gannetcourse-soak-{options.seed}-")
    pathlib.Path(folder).mkdir(parents=True, exist_ok=True)
    soak = Soak(options, folder)
    try:
        soak.fleet.start()
        soak.run()
    finally:
        soak.fleet.stop()
    violations = report(options, folder, soak)
    if not violations and not options.keep:
        shutil.rmtree(folder)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
