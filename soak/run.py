#!/usr/bin/env python3
"""A randomized soak of real processes on loopback: nodes under failing system calls, signals and reloads, behind a
fault proxy, with engines, discovery and clients that misbehave, two or three faults at a time. An audit of what
passed on the sockets is the oracle.

usage: run.py --seed N [--seconds S] [--build FOLDER] [--keep FOLDER]

Prints one line a broken rule, then one with the counts. Exit code 0 only where no rule was broken and all kinds of
load and fault were played.
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

LAST_FAULT = 2  # seconds before the end
RESPONSES_AFTER = 2  # seconds beyond the longest deadline that the run waits for last responses


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
            self.schedule.later(0.2, lambda node=node: self.fleet.start_node(node))

    def play(self):
        end = time.monotonic() + self.options.seconds
        self.faults.inject_mandatory()
        next_fault = time.monotonic() + 1
        last_response = end + self.deployment.longest_deadline + RESPONSES_AFTER
        while time.monotonic() < last_response and any(c.poll() is None for c in self.fleet.clients):
            now = time.monotonic()
            self.schedule.run_due(now)
            if now >= next_fault and now < end - LAST_FAULT:
                self.faults.inject()
                next_fault = now + self.random.uniform(0.1, 0.7)
            self.restart_crashed_nodes()
            time.sleep(0.02)


def not_played(folder, failures):
    """A run that plays nothing must not pass."""
    counts = audit.counts(folder)
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
    parser.add_argument("--keep", help="folder for the logs; else they go with the run, unless a rule was broken")
    options = parser.parse_args()
    for part in (PROGRAM, SHIM):
        if not pathlib.Path(options.build, part).is_file():
            parser.error(f"{options.build}/{part} is missing: configure with GANNETCOURSE_LAB=ON and build")
    return options


def report(options, folder, soak):
    """Prints what was found. Returns the broken rules."""
    failures = soak.fleet.failed_calls()
    broken = soak.fleet.crashes + audit.audit(folder) + list(not_played(folder, failures))
    for line in broken:
        print(f"seed {options.seed}: {line}")
    logs = f" logs={folder}" if broken or options.keep else ""
    print(
        f"seed {options.seed}: deployment={soak.deployment.name} broken={len(broken)} {audit.summary(folder)} "
        f"crowds={soak.faults.crowds} failed_calls={failures}{logs}"
    )
    return broken


def main():
    options = parse_options()
    folder = options.keep or tempfile.mkdtemp(prefix=f"gannetcourse-soak-{options.seed}-")
    pathlib.Path(folder).mkdir(parents=True, exist_ok=True)
    soak = Soak(options, folder)
    try:
        soak.fleet.start()
        soak.play()
    finally:
        soak.fleet.stop()
    broken = report(options, folder, soak)
    if not broken and not options.keep:
        shutil.rmtree(folder)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
