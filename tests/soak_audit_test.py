#!/usr/bin/env python3
"""The soak's oracle finds each rule broken in a run that breaks just this one, and nothing in a clean one.

usage: soak_audit_test.py FOLDER-OF-THE-SOAK
"""

import json
import pathlib
import sys
import tempfile

sys.path.insert(0, sys.argv[1])
import audit  # noqa: E402  (found in the folder that is named)

BUDGET = 1500


def event(t, who, what, **fields):
    return {"t": t, "who": who, "what": what, **fields}


def clean(cls="chat"):
    """One request that is read and answered; the node is notified of a drain long before."""
    return [
        event(0, "discovery", "notified", node="n0", engine="r9", status="draining"),
        event(10, "c0", "requested", id="a", node="n0", cls=cls, budget=BUDGET, fresh=True),
        event(10.01, "proxy0", "sent", pair="n0>r0", id="a", method="POST"),
        event(10.02, "r0", "began", id="a", role="prefill", budget=1480, cls=cls, fault="none"),
        event(10.1, "r0", "held", id="a"),
        event(10.1, "r0", "ended", id="a", role="prefill", complete=True),
        event(10.11, "proxy0", "sent", pair="n0>w0", id="a", method="POST"),
        event(10.12, "w0", "began", id="a", role="decode", budget=1380, cls=cls, fault="none"),
        event(10.2, "w0", "took", id="a"),
        event(10.21, "c0", "started", id="a"),
        event(10.4, "w0", "ended", id="a", role="decode", complete=True),
        event(10.41, "c0", "responded", id="a", status=200, right=True),
    ]


def without(events, *kinds):
    return [e for e in events if e["what"] not in kinds]


def again(at, engine="w1", fault="none"):
    """A further attempt of the request at a writer."""
    return [
        event(at, "proxy0", "sent", pair=f"n0>{engine}", id="a", method="POST"),
        event(at, engine, "began", id="a", role="decode", budget=100, cls="", fault=fault),
        event(at + 0.01, engine, "ended", id="a", role="decode", complete=True),
    ]


def broken_runs():
    """The beginning of the line that is to be found, and the events that break the rule."""
    unanswered = without(clean(), "started", "responded")
    yield "lost: a at n0, no answer", unanswered
    yield "lost: a at n0, its connection was closed", unanswered + [event(11, "c0", "broken_off", id="a", why="closed")]
    yield "lost: a at n0, answered", unanswered + [event(12.5, "c0", "responded", id="a", status=503)]
    yield "lost: a at n0, served with what no engine made", without(clean(), "responded") + [
        event(10.41, "c0", "responded", id="a", status=200, right=False)
    ]
    yield "lost: a, two answers", clean() + [event(10.5, "c0", "responded", id="a", status=200, right=True)]
    yield "lost: a at n0, an attempt", unanswered + [event(10.5, "c0", "disconnected", id="a", after=0.5)] + again(11.2)
    yield "half:", clean() + [event(20, "c0", "half", node="n0", took=4.0)]
    yield "duplicate: a ran 2 times", clean("pay") + again(10.45)
    yield "duplicate: a was rejected, but ran", without(clean("pay"), "started", "responded") + [
        event(11, "c0", "responded", id="a", status=503)
    ]
    yield "duplicate: a was sent again", clean("keyed") + again(13)
    yield "duplicate: a out at w0 and w1", without(clean(), "ended") + again(10.3) + [
        event(11.5, "w0", "ended", id="a", role="decode", complete=False)
    ]
    yield "drain: a sent by n0>r9", clean() + [event(10.3, "proxy0", "sent", pair="n0>r9", id="a", method="POST")]
    yield "pinned: a of n0", without(clean(), "took") + [event(14, "r0", "released", id="a")]
    yield "deadline: a of n0 sent", clean() + [
        event(11, "proxy0", "sent", pair="n0>w2", id="a", method="POST"),
        event(11, "w2", "began", id="a", role="decode", budget=1400, cls="chat", fault="rejected"),
        event(11.01, "w2", "ended", id="a", role="decode", complete=True),
    ]


def released_as_an_attempt_ends():
    """A writer has it for longer than the limit, and the release is noted before the end of its attempt."""
    return without(clean(), "took", "started", "ended", "responded") + [
        event(10.1, "r0", "ended", id="a", role="prefill", complete=True),
        event(12.001, "w0", "released", id="a"),
        event(12.002, "w0", "ended", id="a", role="decode", complete=False),
        event(12.0, "c0", "responded", id="a", status=502),
    ]


def silent_write(*more):
    """The write is sent over a path that has fallen silent; other engines can be reached."""
    beginning = [e for e in clean("pay") if e["t"] <= 10.11]
    return beginning + [
        event(10.105, "proxy0", "mode", engine="w0", mode="hold"),
        event(11.5, "c0", "responded", id="a", status=502),
        event(20, "r1", "up"),
        *more,
    ]


def holds_under_faults():
    """Whether the events break the rule on what is held, and what they are."""
    yield True, "a silent write", silent_write(event(13, "r1", "released", id="a"))
    yield False, "a silent write, released in time", silent_write(event(10.8, "r1", "released", id="a"))
    yield True, "a place that nothing takes", silent_write(
        event(10.2, "w1", "reserved", id="a"), event(10.1, "r1", "released", id="a")
    )
    yield True, "a release while a writer waits for the state", without(clean(), "took", "started", "ended") + [
        event(10.1, "r0", "ended", id="a", role="prefill", complete=True),
        event(10.3, "r1", "released", id="a"),
        event(10.5, "w0", "ended", id="a", role="decode", complete=False),
        event(20, "r1", "up"),
    ]
    stream = [
        event(10.15, "r2", "began", id="a", role="prefill", budget=1480, cls="chat", fault="none"),
        event(10.3, "r2", "held", id="a"),
        event(10.3, "r2", "ended", id="a", role="prefill", complete=True),
    ]
    complete = [{**e, "t": 12.9} if e["who"] == "w0" and e["what"] == "ended" else e for e in clean()]
    late = [*complete, *stream, event(20, "r1", "up")]
    yield True, "a late state beside a stream", late
    yield False, "a late state beside a stream, released", [*late, event(11.2, "r1", "released", id="a")]
    later = [{**e, "t": 11.5} if e["who"] == "r2" and e["what"] in ("held", "ended") else e for e in late]
    yield False, "a late state of a killed node", [*later, event(10.25, "soak", "sigkill", node="n0")]
    yield True, "a late state, overdue when its node is killed", [
        *late,
        event(16, "soak", "sigkill", node="n0"),
    ]
    yield True, "a late state of a node that ended by itself", [
        *later,
        event(11.6, "soak", "node_down", node="n0"),
    ]
    yield False, "no engine can be reached", silent_write(
        *(event(10.105, "proxy0", "mode", engine=e, mode="hold") for e in ("r0", "r1", "r9")),
        event(14, "proxy0", "mode", engine="r1", mode="pass"),
        event(14.5, "r1", "released", id="a"),
    )


def overlaps():
    """Whether the events break the rule on two attempts, and what they are: a fault of a path is no excuse."""
    first = [e for e in clean() if e["t"] <= 10.12] + [event(10.05, "proxy0", "mode", engine="w0", mode="slow")]
    yield True, "out on an open connection", first + again(10.3) + [
        event(11.5, "w0", "ended", id="a", role="decode", complete=False)
    ]
    same = [{**e, "who": "w0"} if e["who"] == "w1" else e for e in again(10.6)]
    same[0]["pair"], same[1]["budget"], same[0]["budget"] = "n0>w0", 100, 100
    begun = [{**e, "t": 10.6} if e["who"] == "w0" else e for e in first if e["what"] != "mode"]
    begun = [{**e, "budget": 1380} if e["what"] == "sent" and e["pair"] == "n0>w0" else e for e in begun]
    ended = [event(11.6, "w0", "ended", id="a", role="decode", complete=False)]
    closed = [event(10.3, "proxy0", "node_closed", pair="n0>w0", id="a")]
    resent = [event(10.4, "proxy0", "sent", pair="n0>w0", id="a", method="POST", budget=100)]
    yield False, "given up, and both begin as their engine goes on", begun + closed + resent + same[1:2] + ended
    yield False, "closed by its node before", first + [
        event(10.25, "proxy0", "node_closed", pair="n0>w0", id="a")
    ] + again(10.3) + [event(11.5, "w0", "ended", id="a", role="decode", complete=False)]


def drained_and_killed(asked_after_sigterm):
    """SIGTERM, a request that is never answered, SIGKILL 3.7 s after SIGTERM."""
    return [
        event(10 - asked_after_sigterm, "soak", "sigterm", node="n0"),
        *without(clean(), "started", "responded", "took", "held"),
        event(13.7 - asked_after_sigterm, "soak", "sigkill", node="n0"),
        event(13.7 - asked_after_sigterm, "c0", "broken_off", id="a", why="reset"),
    ]


def judge(events, log=""):
    with tempfile.TemporaryDirectory() as folder:
        lines = "".join(json.dumps(e) + "\n" for e in events)
        pathlib.Path(folder, "all.events").write_text(lines + '{"t": 9, "half a li', encoding="utf-8")
        pathlib.Path(folder, "n0.log").write_text(log, encoding="utf-8")
        return audit.audit(folder)


def main():
    faults = [f"clean run of {cls}: {line}" for cls in ("chat", "keyed", "pay") for line in judge(clean(cls))]
    for wanted, events in broken_runs():
        found = judge(events)
        if not any(line.startswith(wanted) for line in found):
            faults.append(f"not found: '{wanted}' in {found}")
    for wanted, log in (
        ("invariant: n0", "violations=2,repeat:2 open=0"),
        ("crash: n0", "terminate called after"),
    ):
        if not any(line.startswith(wanted) for line in judge(clean(), log)):
            faults.append(f"not found: '{wanted}'")
    faults += [f"an attempt that is out stops the clock: {line}" for line in judge(released_as_an_attempt_ends())]
    for broken, name, events in holds_under_faults():
        found = [line for line in judge(events) if line.startswith("pinned")]
        if bool(found) != broken:
            faults.append(f"{name}: {found}")
    for broken, name, events in overlaps():
        found = [line for line in judge(events) if " out at " in line]
        if bool(found) != broken:
            faults.append(f"{name}: {found}")
    for after in (0.3, 1.5):  # its time is up before the kill; it came late, and had to be answered by then
        if not any(line.startswith("lost") for line in judge(drained_and_killed(after))):
            faults.append(f"asked {after} s after SIGTERM, never answered: not found")
    killed = judge(without(clean(), "started", "responded") + [event(10.5, "soak", "sigkill", node="n0")])
    if killed:
        faults.append(f"a killed node owes nothing: {killed}")
    print("\n".join(faults) if faults else "each rule's break is found")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
