"""Checks the events that all processes of a soak logged against the rules that the router promises to keep.

Time limits are the documented ones plus LOGGING_SLACK for a busy machine. Cases in which a fault leaves no evidence
of whether a rule was kept are not judged; a comment says so at each of them.
"""

import collections
import json
import pathlib
import re

import deployments
from paths import EngineReachability

# All times are in seconds.
LOGGING_SLACK = 0.3  # delay with which a process on a busy machine may log an event
LEASE_ALLOWANCE = 0.35  # a state lease may exceed its limit by this: documented 0.3 s, plus 0.05 s of socket delay
RELEASE_AFTER_OUTAGE = 0.65  # from the end of an outage of all engines to the release of overdue leases
EVENT_ORDER_TOLERANCE = 0.05  # events of two processes that are this close may be logged in either order
DRAIN_GRACE = 0.25 + 0.05  # how long a node may still send to an engine after the notice of the engine's drain
# A request sent up to this long after SIGTERM may stay without a response if the node is then killed (conditions:
# excused_by_kill). A request sent later must get its complete response before SIGKILL, unless it was sent just before
# SIGKILL.
SHUTDOWN_ACCEPT_PERIOD = 0.7
DEADLINE_SLACK = 0.5  # a response that misses its deadline by less is not reported as lost
BUDGET_SLACK = 0.15  # by how much the deadline sent to an engine may exceed the time that the request has left
DISCONNECT_GRACE = 0.1  # how long after its client disconnected a request may still be sent to an engine
INCOMPLETE_REQUEST_TIMEOUT = 3.0  # a node closes a connection whose request stays incomplete for this long
SOCKET_ALLOWANCE = 0.05  # added to time limits that are observed through sockets


def load_events(folder):
    """All events, sorted by time. Skips lines that a killed process did not finish writing."""
    events = []
    for path in pathlib.Path(folder).glob("*.events"):
        for line in path.read_text(encoding="utf-8").splitlines():
            try:
                events.append(json.loads(line))
            except json.JSONDecodeError:
                continue
    return sorted(events, key=lambda e: e["t"])


class Audit:
    """The events of one run, indexed by request and by node, and one method for each kind of violation."""

    def __init__(self, folder):
        self.folder = folder
        self.events = load_events(folder)
        self.deployment = deployments.load(folder)
        self.outages = EngineReachability(self.events).total_outages()
        self.events_by_request = collections.defaultdict(lambda: collections.defaultdict(list))
        for e in self.events:
            if "id" in e:
                self.events_by_request[e["id"]][e["what"]].append(e)
        self.node_event_times = collections.defaultdict(lambda: collections.defaultdict(list))
        for e in self.events:
            if "node" in e and e["who"] == "soak":
                self.node_event_times[e["node"]][e["what"]].append(e["t"])

    def node_killed(self, node, since, until):
        return any(since <= t <= until for t in self.node_event_times[node]["sigkill"])

    def sigterm_before(self, node, killed):
        """When the process that was killed at `killed` received SIGTERM; None if it received none before the kill."""
        started = max((t for t in self.node_event_times[node]["node_up"] if t < killed), default=0)
        return max((t for t in self.node_event_times[node]["sigterm"] if started < t < killed), default=None)

    def excused_by_kill(self, request, by_kind):
        """Whether a kill of the node excuses a missing response to the request.

        SIGKILL without SIGTERM excuses all open requests. SIGKILL after SIGTERM excuses a request that arrived just
        before the kill. It also excuses a request accepted before, or soon after, SIGTERM whose stream had started or
        whose deadline had not passed.
        """
        deadline = request["t"] + request["budget"] / 1000
        outcome_times = [e["t"] for kind in ("responded", "broken_off", "disconnected") for e in by_kind[kind]]
        until = min(outcome_times, default=deadline + 30) + LOGGING_SLACK
        for killed in self.node_event_times[request["node"]]["sigkill"]:
            if not request["t"] - LOGGING_SLACK <= killed <= until:
                continue
            sigterm = self.sigterm_before(request["node"], killed)
            if sigterm is None or request["t"] > killed - LOGGING_SLACK:
                return True
            early = request["t"] < sigterm + SHUTDOWN_ACCEPT_PERIOD
            if early and (by_kind["started"] or deadline + LOGGING_SLACK > killed):
                return True
        return False

    def requests(self):
        """(ID, event "requested", events by kind) of each request."""
        return [(i, kinds["requested"][0], kinds) for i, kinds in self.events_by_request.items() if kinds["requested"]]

    # ---- Rule 1: each request gets exactly one final response by its deadline ----
    def response_violations(self):
        for request_id, request, by_kind in self.requests():
            deadline = request["t"] + request["budget"] / 1000 + DEADLINE_SLACK + LOGGING_SLACK
            if (
                self.excused_by_kill(request, by_kind)
                or by_kind["disconnected"]
                and not by_kind["started"]
                and by_kind["disconnected"][0]["t"] < deadline
            ):
                continue
            first = by_kind["started"] or by_kind["responded"]
            if by_kind["broken_off"] and not first:
                # A node may close a reused connection between two requests; clients then send the request again. While
                # many silent connections use up its file descriptors, a node may also close a new connection without
                # reading the request.
                crowded = any(
                    request["t"] - 5 < t < request["t"] + 5 for t in self.node_event_times[request["node"]]["crowd"]
                )
                if by_kind["sent"] or request["fresh"] and not crowded:
                    yield f"lost: {request_id} at {request['node']}, its connection was closed without an answer"
            elif not first and not by_kind["broken_off"]:
                yield f"lost: {request_id} at {request['node']}, no answer in {request['budget']} ms"
            elif first and first[0]["t"] > deadline:
                yield f"lost: {request_id} at {request['node']}, answered {first[0]['t'] - deadline:.3f} s late"
            if any(a.get("right") is False for a in by_kind["responded"]):
                yield f"lost: {request_id} at {request['node']}, served with what no engine made for it"
            if len(by_kind["responded"]) > 1:
                yield f"lost: {request_id}, two answers"

    def incomplete_request_violations(self):
        for e in self.events:
            if e["what"] != "half" or e["took"] <= INCOMPLETE_REQUEST_TIMEOUT + LOGGING_SLACK:
                continue
            if not self.node_killed(e["node"], e["t"] - 10, e["t"]):
                yield f"half: a client that stopped in a request at {e['node']} waited {e['took']:.2f} s"

    def attempt_after_disconnect_violations(self):
        for request_id, request, by_kind in self.requests():
            for disconnect in by_kind["disconnected"]:
                late = [
                    s
                    for s in by_kind["sent"]
                    if s["method"] == "POST" and s["t"] > disconnect["t"] + DISCONNECT_GRACE + LOGGING_SLACK
                ]
                if late:
                    after = late[0]["t"] - disconnect["t"]
                    attempt = f"an attempt {after:.3f} s after its client disconnected"
                    yield f"lost: {request_id} at {request['node']}, {attempt}"

    # ---- Rule 2: no request runs more often than its class allows ----
    def duplicate_run_violations(self):
        for request_id, request, by_kind in self.requests():
            runs = [b for b in by_kind["began"] if b["role"] == "decode" and b["fault"] != "rejected"]
            if request["cls"] == "pay":
                if len(runs) > 1:
                    yield f"duplicate: {request_id} ran {len(runs)} times, {len(by_kind['never_ran'])} rejected"
                rejected = [a for a in by_kind["responded"] if a["status"] in (429, 503)]
                if rejected and runs:
                    yield f"duplicate: {request_id} was rejected, but ran"
            if request["cls"] == "keyed" and runs:
                # If the node sends a keyed request again, it must do so within the class's deduplication window. The
                # time of sending is checked rather than the time of arrival, because the network path may delay a
                # repeat that was sent in time.
                decode_engines = {">" + b["who"] for b in by_kind["began"] if b["role"] == "decode"}
                repeats = [
                    e["t"]
                    for e in by_kind["sent"]
                    if e["method"] == "POST" and any(e["pair"].endswith(engine) for engine in decode_engines)
                ]
                late = max(repeats, default=runs[0]["t"]) - runs[0]["t"]
                if late > self.deployment.keyed_window + SOCKET_ALLOWANCE + LOGGING_SLACK:
                    yield f"duplicate: {request_id} was sent again {late:.3f} s after its first run"

    def overlap_violations(self):
        """A request must not be sent again while an earlier attempt is in flight on an open connection."""
        for request_id, _, by_kind in self.requests():
            spans = [span for span in self.attempt_spans(by_kind) if span[1] > span[0]]
            for (_, end, earlier), (began, _, later) in zip(spans, spans[1:]):
                if end > began + LOGGING_SLACK:
                    yield f"duplicate: {request_id} out at {earlier} and {later} for {end - began:.3f} s"

    # ---- Rule 3: a node sends nothing new to an engine that drains or was removed ----
    def drain_violations(self):
        notified = {}
        for e in self.events:
            if e["what"] == "node_up":  # a new process has received no notices yet
                notified = {key: since for key, since in notified.items() if key[0] != e["node"]}
            elif e["what"] == "notified":
                key = (e["node"], e["engine"])
                if e["status"] == "up":
                    notified.pop(key, None)
                else:
                    notified.setdefault(key, e["t"])
            elif e["what"] == "sent" and e["method"] == "POST":
                since = notified.get(tuple(e["pair"].split(">")))
                if since is not None and e["t"] > since + DRAIN_GRACE + LOGGING_SLACK:
                    yield f"drain: {e['id']} sent by {e['pair']} {e['t'] - since:.3f} s after it was notified"

    # ---- Rule 5: state leases and reservations are released in time ----
    @staticmethod
    def send_time(began, by_kind):
        """When the node sent the attempt whose start the engine logged as `began`. If an engine's process was stopped
        for a while, two attempts may begin there at once. They are then told apart by the deadline sent with each."""
        sends = [e for e in by_kind["sent"] if e["pair"].endswith(">" + began["who"]) and e["t"] <= began["t"]]
        same_budget = [e for e in sends if e.get("budget") == began["budget"]]
        return max((e["t"] for e in same_budget or sends), default=began["t"])

    def attempt_spans(self, by_kind):
        """(start, end, engine) of each attempt that reached an engine. An attempt ends when its node receives the
        response or closes the connection, whichever is earlier. If it reaches the engine after that close, start equals
        end."""
        spans = []
        for began in by_kind["began"]:

            def times_of(kind):
                return [e["t"] for e in by_kind[kind] if e["pair"].endswith(">" + began["who"])]

            sent = self.send_time(began, by_kind)
            ends = [max(t, began["t"]) for t in times_of("node_closed") if t >= sent]
            ended = [e["t"] for e in by_kind["ended"] if e["who"] == began["who"] and e["t"] >= began["t"]]
            if ended:
                ends += [t for t in times_of("passed") if t >= ended[0] - EVENT_ORDER_TOLERANCE]
            spans.append((began["t"], min(ends or ended, default=self.events[-1]["t"]), began["who"]))
        return sorted(spans)

    @staticmethod
    def state_wait_spans(by_kind, spans):
        """Spans in which a decode engine waited for a state: until the attempt took the state or ended."""
        decode_engines = {b["who"] for b in by_kind["began"] if b["role"] == "decode"}
        for began, end, engine in spans:
            if engine in decode_engines:
                took = [e["t"] for e in by_kind["took"] if e["who"] == engine and e["t"] >= began]
                yield began, min([end, *took])

    def release_deadline(self, since):
        """Latest time at which a lease or reservation that has been unused from `since` on has to be released.

        A release takes effect when its last byte has reached a running engine. The limit is therefore extended by
        periods in which no engine could be reached. Failed connections of the node alone do not extend it.
        """
        latest = since + self.deployment.pin_limit + LEASE_ALLOWANCE + LOGGING_SLACK
        for span in self.outages:
            if span.since < latest and span.until > since:
                latest = max(latest, span.until + RELEASE_AFTER_OUTAGE + LOGGING_SLACK)
        return latest

    def lease_violations(self):
        """State leases and reservations released too late. While a decode engine waits for the state, a release
        has no effect and is not counted."""
        for request_id, request, by_kind in self.requests():
            for lease in by_kind["held"] + by_kind["reserved"]:
                since, violation = lease["t"], None
                spans = [span for span in self.attempt_spans(by_kind) if span[1] >= since]
                freed = [e["t"] for e in by_kind["took"] if e["t"] >= lease["t"]]
                waits = list(self.state_wait_spans(by_kind, spans))
                freed += [
                    e["t"]
                    for e in by_kind["released"]
                    if e["t"] >= lease["t"]
                    and not any(began <= e["t"] < end - EVENT_ORDER_TOLERANCE for began, end in waits)
                ]
                freed_at = min(freed, default=self.events[-1]["t"])
                for began, end, _ in spans:
                    if began > freed_at:
                        break
                    if began > self.release_deadline(since):
                        violation = violation or (since, began)
                    since = max(since, end)
                if freed_at > self.release_deadline(since):
                    violation = violation or (since, freed_at)
                # A killed node need not release its leases and reservations, except those overdue before the kill.
                if violation and not self.node_killed(
                    request["node"], request["t"], min(violation[1], self.release_deadline(violation[0]))
                ):
                    leased = violation[1] - violation[0]
                    yield f"pinned: {request_id} of {request['node']} held at {lease['who']} for {leased:.3f} s"

    # ---- Deadlines sent to engines ----
    def budget_violations(self):
        for request_id, request, by_kind in self.requests():
            sends = [s for s in by_kind["sent"] if s["method"] == "POST"]
            for began in by_kind["began"]:
                sent = next((s for s in sends if s["pair"].endswith(">" + began["who"])), None)
                if sent is None:
                    continue
                time_left = request["t"] + request["budget"] / 1000 - sent["t"]
                if began["budget"] / 1000 > time_left + BUDGET_SLACK + LOGGING_SLACK:
                    budget = f"{began['budget']} ms with {time_left * 1000:.0f} left"
                    yield f"deadline: {request_id} of {request['node']} sent {budget}"

    def node_reported_violations(self):
        """Violations that the nodes' own checks counted, and crashes reported in their logs."""
        for path in pathlib.Path(self.folder).glob("n*.log"):
            text = path.read_text(encoding="utf-8", errors="replace")
            for line in set(re.findall(r"violations=[1-9][0-9]*[^ \"]*", text)):
                yield f"invariant: {path.stem} counted {line}"
            for line in re.findall(r".*(?:Sanitizer|terminate called|runtime error).*", text):
                yield f"crash: {path.stem}: {line}"

    def violations(self):
        for rule in (
            self.response_violations,
            self.incomplete_request_violations,
            self.attempt_after_disconnect_violations,
            self.duplicate_run_violations,
            self.overlap_violations,
            self.drain_violations,
            self.lease_violations,
            self.budget_violations,
            self.node_reported_violations,
        ):
            yield from rule()


def find_violations(folder):
    return list(Audit(folder).violations())


def count_events(folder):
    """How many events of each kind were logged."""
    return collections.Counter(e["what"] for e in load_events(folder))


def summary(folder):
    """Counts of requests, responses and attempts, in one line."""
    events = load_events(folder)
    count = collections.Counter(e["what"] for e in events)
    served = sum(1 for e in events if e["what"] == "responded" and e["status"] == 200)
    rejected = sum(1 for e in events if e["what"] == "responded" and e["status"] in (429, 503))
    return (
        f"requested={count['requested']} served={served} rejected={rejected} "
        f"disconnected={count['disconnected']} broken_off={count['broken_off']} "
        f"attempts={count['began']} halves={count['half']}"
    )


if __name__ == "__main__":
    import sys

    lines = find_violations(sys.argv[1])
    print("\n".join(lines))
    print(summary(sys.argv[1]))
