"""Writes the fault plan of one node: a file with the memory layout of `FaultPlan` in soak/fault_shim.h."""

import errno
import mmap
import struct

CALLS = ["accept", "socket", "connect", "watch", "receive", "send", "open", "write", "sync", "rename"]
RULE = struct.Struct("iIII")  # errno, per mille, remaining, failed
SWITCHES = struct.Struct("IIIIq")  # short transfers (per mille), stall (ms, per mille), EINTR connects, clock step (ms)
SIZE = len(CALLS) * RULE.size + SWITCHES.size
UNLIMITED = 0xFFFFFFFF

# The faults of system calls, of which a run draws some: call, errno, failures per 1000 calls.
FAULTS = [
    ("accept", errno.EMFILE, 500),
    ("accept", errno.ENOBUFS, 300),
    ("accept", errno.EPROTO, 300),
    ("socket", errno.ENFILE, 1000),
    ("socket", errno.ENOBUFS, 400),
    ("connect", errno.EADDRNOTAVAIL, 600),
    ("connect", errno.ENETUNREACH, 1000),
    ("connect", errno.ECONNREFUSED, 300),
    ("watch", errno.ENOMEM, 300),
    ("watch", errno.ENOSPC, 300),
    ("receive", errno.EINTR, 300),
    ("receive", errno.ENOMEM, 200),
    ("send", errno.EINTR, 300),
    ("send", errno.ENOBUFS, 200),
    ("open", errno.EMFILE, 1000),
]


class FaultPlan:
    """The fault plan of one node, shared with its process."""

    def __init__(self, path):
        with open(path, "wb") as file:
            file.write(bytes(SIZE))
        with open(path, "r+b") as file:
            self._memory = mmap.mmap(file.fileno(), SIZE)

    def fail(self, call, error, per_mille):
        offset = CALLS.index(call) * RULE.size
        failed = RULE.unpack_from(self._memory, offset)[3]
        RULE.pack_into(self._memory, offset, error, per_mille, UNLIMITED if per_mille else 0, failed)

    def set_switches(self, short=0, stall_ms=0, stall=0, interrupted=0, clock_step_ms=0):
        SWITCHES.pack_into(self._memory, len(CALLS) * RULE.size, short, stall_ms, stall, interrupted, clock_step_ms)

    def failures(self):
        rules = [RULE.unpack_from(self._memory, i * RULE.size) for i in range(len(CALLS))]
        return {call: rule[3] for call, rule in zip(CALLS, rules) if rule[3]}
