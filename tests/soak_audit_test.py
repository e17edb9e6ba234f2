#!/usr/bin/env python3
"""Checks that the soak's audit reports a violation of each rule in a run that violates only that rule, and reports
nothing for runs that violate none.

usage: soak_audit_test.py FOLDER-OF-THE-SOAK
"""

import json
import pathlib
import sys
import tempfile

sys.path.insert(0, sys.argv[1])
import audit  # noqa: E402  (imported from the folder in the first argument)

BUDGET = 1500


def event(t, who, what, **fields):
    return {"t": t, "who": who, "what": what, **fields}


def clean_run(cls="chat"):
    """One request that is prefilled, decoded and answered. Its node was notified of another engine's drain before."""
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


def further_attempt(at, engine="w1", fault="none"):
    """A further attempt of the request at a decode engine."""
    return [
        event(at, "proxy0", "sent", pair=f"n0>{engine}", id="a", method="POST"),
        event(at, engine, "began", id="a", role="decode", budget=100, cls="", fault=fault),
        event(at + 0.01, engine, "ended", id="a", role="decode", complete=True),
    ]


def runs_with_one_violation():
    """Yields the expected start of the reported line and the events that violate the rule."""
    unanswered = without(clean_run(), "started", "responded")
    yield "lost: a at n0, no answer", unanswered
    yield "lost: a at n0, its connection was closed", unanswered + [event(11, "c0", "broken_off", id="a", why="closed")]
    yield "lost: a at n0, answered", unanswered + [event(12.5, "c0", "responded", id="a", status=503)]
    yield "lost: a at n0, served with what no engine made", without(clean_run(), "responded") + [
        event(10.41, "c0", "responded", id="a", status=200, right=False)
    ]
    yield "lost: a, two answers", clean_run() + [event(10.5, "c0", "responded", id="a", status=200, right=True)]
    yield "lost: a at n0, an attempt", unanswered + [
        event(10.5, "c0", "disconnected", id="a", after=0.5)
    ] + further_attempt(11.2)
    yield "half:", clean_run() + [event(20, "c0", "half", node="n0", took=4.0)]
    yield "duplicate: a ran 2 times", clean_run("pay") + further_attempt(10.45)
    yield "duplicate: a was rejected, but ran", without(clean_run("pay"), "started", "responded") + [
        event(11, "c0", "responded", id="a", status=503)
    ]
    yield "duplicate: a was sent again", clean_run("keyed") + further_attempt(13)
    yield "duplicate: a out at w0 and w1", without(clean_run(), "ended") + further_attempt(10.3) + [
        event(11.5, "w0", "ended", id="a", role="decode", complete=False)
    ]
    yield "drain: a sent by n0>r9", clean_run() + [event(10.3, "proxy0", "sent", pair="n0>r9", id="a", method="POST")]
    yield "pinned: a of n0", without(clean_run(), "took") + [event(14, "r0", "released", id="a")]
    yield "deadline: a of n0 sent", clean_run() + [
        event(11, "proxy0", "sent", pair="n0>w2", id="a", method="POST"),
        event(11, "w2", "began", id="a", role="decode", budget=1400, cls="chat", fault="rejected"),
        event(11.01, "w2", "ended", id="a", role="decode", complete=True),
    ]


def run_released_just_before_attempt_ends():
    """A decode attempt that exceeds the lease limit. The release is logged just before the attempt ends."""
    return without(clean_run(), "took", "started", "ended", "responded") + [
        event(10.1, "r0", "ended", id="a", role="prefill", complete=True),
        event(12.001, "w0", "released", id="a"),
        event(12.002, "w0", "ended", id="a", role="decode", complete=False),
        event(12.0, "c0", "responded", id="a", status=502),
    ]


def run_with_decode_on_silent_path(*more):
    """The decode attempt is sent over a path that forwards nothing. Other engines can be reached."""
    start = [e for e in clean_run("pay") if e["t"] <= 10.11]
    return start + [
        event(10.105, "proxy0", "mode", engine="w0", mode="hold"),
        event(11.5, "c0", "responded", id="a", status=502),
        event(20, "r1", "up"),
        *more,
    ]


def lease_runs_under_faults():
    """Yields whether the events violate the rule on leases, a description, and the events."""
    yield True, "the decode attempt never arrives and the lease is overdue", run_with_decode_on_silent_path(
        event(13, "r1", "released", id="a")
    )
    yield False, "the decode attempt never arrives, and the state is released in time", run_with_decode_on_silent_path(
        event(10.8, "r1", "released", id="a")
    )
    yield True, "a reservation that no attempt uses", run_with_decode_on_silent_path(
        event(10.2, "w1", "reserved", id="a"), event(10.1, "r1", "released", id="a")
    )
    yield True, "a release while a decode engine waits for the state", without(
        clean_run(), "took", "started", "ended"
    ) + [
        event(10.1, "r0", "ended", id="a", role="prefill", complete=True),
        event(10.3, "r1", "released", id="a"),
        event(10.5, "w0", "ended", id="a", role="decode", complete=False),
        event(20, "r1", "up"),
    ]
    yield from lease_runs_with_second_state()
    yield False, "no engine can be reached", run_with_decode_on_silent_path(
        *(event(10.105, "proxy0", "mode", engine=e, mode="hold") for e in ("r0", "r1", "r9")),
        event(14, "proxy0", "mode", engine="r1", mode="pass"),
        event(14.5, "r1", "released", id="a"),
    )


def lease_runs_with_second_state():
    """The same for a second state of the request, which a repeated prefill has left at another engine."""
    stream = [
        event(10.15, "r2", "began", id="a", role="prefill", budget=1480, cls="chat", fault="none"),
        event(10.3, "r2", "held", id="a"),
        event(10.3, "r2", "ended", id="a", role="prefill", complete=True),
    ]
    complete = [{**e, "t": 12.9} if e["who"] == "w0" and e["what"] == "ended" else e for e in clean_run()]
    with_second_state = [*complete, *stream, event(20, "r1", "up")]
    yield True, "a second state is held while the stream runs", with_second_state
    yield False, "a second state is held while the stream runs, released in time", [
        *with_second_state,
        event(11.2, "r1", "released", id="a"),
    ]
    with_later_second_state = [
        {**e, "t": 11.5} if e["who"] == "r2" and e["what"] in ("held", "ended") else e for e in with_second_state
    ]
    yield False, "a second state is held, but its node was killed before the release was due", [
        *with_later_second_state,
        event(10.25, "soak", "sigkill", node="n0"),
    ]
    yield True, "a second state that is overdue when its node is killed", [
        *with_second_state,
        event(16, "soak", "sigkill", node="n0"),
    ]
    yield True, "a second state is held after its node exited without being killed", [
        *with_later_second_state,
        event(11.6, "soak", "node_down", node="n0"),
    ]


def overlap_runs():
    """Yields whether the events violate the rule on overlapping attempts, a description, and the events.

    A slow path does not excuse an overlap.
    """
    first = [e for e in clean_run() if e["t"] <= 10.12] + [event(10.05, "proxy0", "mode", engine="w0", mode="slow")]
    yield True, "an earlier attempt is in flight on an open connection", first + further_attempt(10.3) + [
        event(11.5, "w0", "ended", id="a", role="decode", complete=False)
    ]
    same = [{**e, "who": "w0"} if e["who"] == "w1" else e for e in further_attempt(10.6)]
    same[0]["pair"], same[1]["budget"], same[0]["budget"] = "n0>w0", 100, 100
    begun = [{**e, "t": 10.6} if e["who"] == "w0" else e for e in first if e["what"] != "mode"]
    begun = [{**e, "budget": 1380} if e["what"] == "sent" and e["pair"] == "n0>w0" else e for e in begun]
    ended = [event(11.6, "w0", "ended", id="a", role="decode", complete=False)]
    closed = [event(10.3, "proxy0", "node_closed", pair="n0>w0", id="a")]
    resent = [event(10.4, "proxy0", "sent", pair="n0>w0", id="a", method="POST", budget=100)]
    yield False, "first one closed; both begin when the engine resumes", begun + closed + resent + same[1:2] + ended
    yield False, "the node closed the earlier attempt's connection first", first + [
        event(10.25, "proxy0", "node_closed", pair="n0>w0", id="a")
    ] + further_attempt(10.3) + [event(11.5, "w0", "ended", id="a", role="decode", complete=False)]


def run_killed_after_sigterm(requested_after_sigterm):
    """SIGTERM, a request that gets no response, and SIGKILL 3.7 s after SIGTERM."""
    return [
        event(10 - requested_after_sigterm, "soak", "sigterm", node="n0"),
        *without(clean_run(), "started", "responded", "took", "held"),
        event(13.7 - requested_after_sigterm, "soak", "sigkill", node="n0"),
        event(13.7 - requested_after_sigterm, "c0", "broken_off", id="a", why="reset"),
    ]


def find_violations(events, log=""):
    with tempfile.TemporaryDirectory() as folder:
        lines = "".join(json.dumps(e) + "\n" for e in events)
        pathlib.Path(folder, "all.events").write_text(lines + '{"t": 9, "half a li', encoding="utf-8")
        pathlib.Path(folder, "n0.log").write_text(log, encoding="utf-8")
        return audit.find_violations(folder)


def main():
    failures = [
        f"reported for a run of class {cls} without violations: {line}"
        for cls in ("chat", "keyed", "pay")
        for line in find_violations(clean_run(cls))
    ]
    for expected, events in runs_with_one_violation():
        found = find_violations(events)
        if not any(line.startswith(expected) for line in found):
            failures.append(f"not reported: '{expected}' in {found}")
    for expected, log in (
        ("invariant: n0", "violations=2,repeat:2 open=0"),
        ("crash: n0", "terminate called after"),
    ):
        if not any(line.startswith(expected) for line in find_violations(clean_run(), log)):
            failures.append(f"not reported: '{expected}'")
    failures += [
        f"the lease limit must not run during an attempt: {line}"
        for line in find_violations(run_released_just_before_attempt_ends())
    ]
    for violates, name, events in lease_runs_under_faults():
        found = [line for line in find_violations(events) if line.startswith("pinned")]
        if bool(found) != violates:
            failures.append(f"{name}: {found}")
    for violates, name, events in overlap_runs():
        found = [line for line in find_violations(events) if " out at " in line]
        if bool(found) != violates:
            failures.append(f"{name}: {found}")
    for after in (0.3, 1.5):  # 0.3: deadline before the kill; 1.5: sent too late to be excused
        if not any(line.startswith("lost") for line in find_violations(run_killed_after_sigterm(after))):
            failures.append(f"not reported: request {after} s after SIGTERM that got no response")
    killed = find_violations(without(clean_run(), "started", "responded") + [event(10.5, "soak", "sigkill", node="n0")])
    if killed:
        failures.append(f"reported for a killed node, which need not answer: {killed}")
    print("\n".join(failures) if failures else "each violation is reported")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
