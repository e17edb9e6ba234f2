"""The oracle of the soak: the rules, checked against what all stand-ins saw. Bounds are the pages' own plus SLACK for
a busy machine; what a fault makes unknowable is left out, and said where."""

import collections
import json
import pathlib
import re

import deployments
from paths import Paths

SLACK = 0.3  # seconds that processes here may be late to note what they saw
LEASE_ALLOWANCE = 0.35  # 0.3 s by the fleet's page and 0.05 s of sockets
RELEASE_AFTER_SILENCE = 0.65  # seconds from the end of a silence of all engines to the release of what is overdue
SAME_MOMENT = 0.05  # seconds within which two processes may note one moment in either order
GRACE = 0.25 + 0.05
ACCEPTED_AFTER_SIGTERM = (
    0.7  # what is accepted later than this after SIGTERM must have its complete response before SIGKILL
)
DEADLINE_SLACK = 0.5  # up to here a late response only earns nothing
BUDGET_SLACK = 0.15
DISCONNECT_GRACE = 0.1
HALF_WITHIN = 3.0
SOCKET_ALLOWANCE = 0.05  # by which each limit of time is longer on sockets


def load(folder):
    """All events in the order of time; a line that a killed process left half written is passed over."""
    events = []
    for path in pathlib.Path(folder).glob("*.events"):
        for line in path.read_text(encoding="utf-8").splitlines():
            try:
                events.append(json.loads(line))
            except json.JSONDecodeError:
                continue
    return sorted(events, key=lambda e: e["t"])


class Audit:
    def __init__(self, folder):
        self.folder = folder
        self.events = load(folder)
        self.deployment = deployments.load(folder)
        self.silences = Paths(self.events).nothing_reachable()
        self.by_id = collections.defaultdict(lambda: collections.defaultdict(list))
        for e in self.events:
            if "id" in e:
                self.by_id[e["id"]][e["what"]].append(e)
        self.of_node = collections.defaultdict(lambda: collections.defaultdict(list))
        for e in self.events:
            if "node" in e and e["who"] == "soak":
                self.of_node[e["node"]][e["what"]].append(e["t"])

    def node_killed(self, node, since, until):
        return any(since <= t <= until for t in self.of_node[node]["sigkill"])

    def sigterm_before(self, node, killed):
        """When the process that was killed had been signalled to end; None where it had not."""
        started = max((t for t in self.of_node[node]["node_up"] if t < killed), default=0)
        return max((t for t in self.of_node[node]["sigterm"] if started < t < killed), default=None)

    def excused_by_kill(self, request, what):
        """Whether SIGKILL has freed its node of this request: one that comes as a surprise frees it of all that is
        open; one at the end of a drain only of streams taken before or soon after SIGTERM, and of what has just come.
        """
        by = request["t"] + request["budget"] / 1000
        seen = [e["t"] for kind in ("responded", "broken_off", "disconnected") for e in what[kind]]
        until = min(seen, default=by + 30) + SLACK
        for killed in self.of_node[request["node"]]["sigkill"]:
            if not request["t"] - SLACK <= killed <= until:
                continue
            sigterm = self.sigterm_before(request["node"], killed)
            if sigterm is None or request["t"] > killed - SLACK:
                return True
            early = request["t"] < sigterm + ACCEPTED_AFTER_SIGTERM
            if early and (what["started"] or by + SLACK > killed):
                return True
        return False

    def requests(self):
        return [(i, what["requested"][0], what) for i, what in self.by_id.items() if what["requested"]]

    # ---- Rule 1 ----
    def responses(self):
        for request_id, request, what in self.requests():
            by = request["t"] + request["budget"] / 1000 + DEADLINE_SLACK + SLACK
            if (
                self.excused_by_kill(request, what)
                or what["disconnected"]
                and not what["started"]
                and what["disconnected"][0]["t"] < by
            ):
                continue
            first = what["started"] or what["responded"]
            if what["broken_off"] and not first:
                # A connection that has been used may be closed between requests; the request is sent again then. A
                # new one may be shut unread while a crowd fills the descriptors.
                crowded = any(request["t"] - 5 < t < request["t"] + 5 for t in self.of_node[request["node"]]["crowd"])
                if what["sent"] or request["fresh"] and not crowded:
                    yield f"lost: {request_id} at {request['node']}, its connection was closed without an answer"
            elif not first and not what["broken_off"]:
                yield f"lost: {request_id} at {request['node']}, no answer in {request['budget']} ms"
            elif first and first[0]["t"] > by:
                yield f"lost: {request_id} at {request['node']}, answered {first[0]['t'] - by:.3f} s late"
            if any(a.get("right") is False for a in what["responded"]):
                yield f"lost: {request_id} at {request['node']}, served with what no engine made for it"
            if len(what["responded"]) > 1:
                yield f"lost: {request_id}, two answers"

    def halves(self):
        for e in self.events:
            if e["what"] != "half" or e["took"] <= HALF_WITHIN + SLACK:
                continue
            if not self.node_killed(e["node"], e["t"] - 10, e["t"]):
                yield f"half: a client that stopped in a request at {e['node']} waited {e['took']:.2f} s"

    def attempts_after_disconnect(self):
        for request_id, request, what in self.requests():
            for disconnect in what["disconnected"]:
                late = [
                    s
                    for s in what["sent"]
                    if s["method"] == "POST" and s["t"] > disconnect["t"] + DISCONNECT_GRACE + SLACK
                ]
                if late:
                    after = late[0]["t"] - disconnect["t"]
                    attempt = f"an attempt {after:.3f} s after its client disconnected"
                    yield f"lost: {request_id} at {request['node']}, {attempt}"

    # ---- Rule 2 ----
    def effects(self):
        for request_id, request, what in self.requests():
            runs = [b for b in what["began"] if b["role"] == "decode" and b["fault"] != "rejected"]
            if request["cls"] == "pay":
                if len(runs) > 1:
                    yield f"duplicate: {request_id} ran {len(runs)} times, {len(what['never_ran'])} rejected"
                rejected = [a for a in what["responded"] if a["status"] in (429, 503)]
                if rejected and runs:
                    yield f"duplicate: {request_id} was rejected, but ran"
            if request["cls"] == "keyed" and runs:
                # What counts is when a repeat is sent: one that was in time may be delayed on its way.
                writers = {">" + b["who"] for b in what["began"] if b["role"] == "decode"}
                repeats = [
                    e["t"]
                    for e in what["sent"]
                    if e["method"] == "POST" and any(e["pair"].endswith(writer) for writer in writers)
                ]
                late = max(repeats, default=runs[0]["t"]) - runs[0]["t"]
                if late > self.deployment.keyed_window + SOCKET_ALLOWANCE + SLACK:
                    yield f"duplicate: {request_id} was sent again {late:.3f} s after its first run"

    def overlaps(self):
        """'A second copy if an earlier one is still out on an open connection' (protocol page)."""
        for request_id, _, what in self.requests():
            out = [span for span in self.attempts_out(what) if span[1] > span[0]]
            for (_, end, earlier), (began, _, later) in zip(out, out[1:]):
                if end > began + SLACK:
                    yield f"duplicate: {request_id} out at {earlier} and {later} for {end - began:.3f} s"

    # ---- Rule 3 ----
    def drains(self):
        notified = {}
        for e in self.events:
            if e["what"] == "node_up":  # a new process has not been notified of anything yet
                notified = {key: since for key, since in notified.items() if key[0] != e["node"]}
            elif e["what"] == "notified":
                key = (e["node"], e["engine"])
                if e["status"] == "up":
                    notified.pop(key, None)
                else:
                    notified.setdefault(key, e["t"])
            elif e["what"] == "sent" and e["method"] == "POST":
                since = notified.get(tuple(e["pair"].split(">")))
                if since is not None and e["t"] > since + GRACE + SLACK:
                    yield f"drain: {e['id']} sent by {e['pair']} {e['t'] - since:.3f} s after it was notified"

    # ---- Rule 5 ----
    @staticmethod
    def sent_at(began, what):
        """When the attempt that began there was sent. Two to one engine may begin together, where it has stood still:
        they are distinguished by the deadline that each was sent."""
        sends = [e for e in what["sent"] if e["pair"].endswith(">" + began["who"]) and e["t"] <= began["t"]]
        own = [e for e in sends if e.get("budget") == began["budget"]]
        return max((e["t"] for e in own or sends), default=began["t"])

    def attempts_out(self, what):
        """Spans in which an attempt that has arrived was out: until its node has heard of its end or has closed its
        connection, whichever is earlier. One that arrives after that close was not out at all."""
        spans = []
        for began in what["began"]:

            def of_pair(kind):
                return [e["t"] for e in what[kind] if e["pair"].endswith(">" + began["who"])]

            sent = self.sent_at(began, what)
            ends = [max(t, began["t"]) for t in of_pair("node_closed") if t >= sent]
            ended = [e["t"] for e in what["ended"] if e["who"] == began["who"] and e["t"] >= began["t"]]
            if ended:
                ends += [t for t in of_pair("passed") if t >= ended[0] - SAME_MOMENT]
            spans.append((began["t"], min(ends or ended, default=self.events[-1]["t"]), began["who"]))
        return sorted(spans)

    @staticmethod
    def decode_engines_waiting(what, out):
        """Spans in which a writer waited for a state: one that has taken its own waits for no other."""
        writers = {b["who"] for b in what["began"] if b["role"] == "decode"}
        for began, end, engine in out:
            if engine in writers:
                took = [e["t"] for e in what["took"] if e["who"] == engine and e["t"] >= began]
                yield began, min([end, *took])

    def due(self, since):
        """By when what is held since then has to be free. 'A call counts once its last byte has reached an engine that
        runs': where none could be reached at all, none can be made until one can. That connections of its node do not
        come up is no excuse ('the time keeps running')."""
        due = since + self.deployment.pin_limit + LEASE_ALLOWANCE + SLACK
        for span in self.silences:
            if span.since < due and span.until > since:
                due = max(due, span.until + RELEASE_AFTER_SILENCE + SLACK)
        return due

    def state_leases(self):
        """States and places. A release is without effect while a writer waits for the state."""
        for request_id, request, what in self.requests():
            for held in what["held"] + what["reserved"]:
                since, broken = held["t"], None
                out = [span for span in self.attempts_out(what) if span[1] >= since]
                frees = [e["t"] for e in what["took"] if e["t"] >= held["t"]]
                waits = list(self.decode_engines_waiting(what, out))
                frees += [
                    e["t"]
                    for e in what["released"]
                    if e["t"] >= held["t"] and not any(began <= e["t"] < end - SAME_MOMENT for began, end in waits)
                ]
                free = min(frees, default=self.events[-1]["t"])
                for began, end, _ in out:
                    if began > free:
                        break
                    if began > self.due(since):
                        broken = broken or (since, began)
                    since = max(since, end)
                if free > self.due(since):
                    broken = broken or (since, free)
                # "What a node held when it was killed is no longer that node's duty", if it was not overdue by then.
                if broken and not self.node_killed(request["node"], request["t"], min(broken[1], self.due(broken[0]))):
                    leased = broken[1] - broken[0]
                    yield f"pinned: {request_id} of {request['node']} held at {held['who']} for {leased:.3f} s"

    # ---- Deadlines sent to engines ----
    def budgets(self):
        for request_id, request, what in self.requests():
            sends = [s for s in what["sent"] if s["method"] == "POST"]
            for began in what["began"]:
                sent = next((s for s in sends if s["pair"].endswith(">" + began["who"])), None)
                if sent is None:
                    continue
                left = request["t"] + request["budget"] / 1000 - sent["t"]
                if began["budget"] / 1000 > left + BUDGET_SLACK + SLACK:
                    budget = f"{began['budget']} ms with {left * 1000:.0f} left"
                    yield f"deadline: {request_id} of {request['node']} sent {budget}"

    def own_counts(self):
        """What the nodes' own guard counted."""
        for path in pathlib.Path(self.folder).glob("n*.log"):
            text = path.read_text(encoding="utf-8", errors="replace")
            for line in set(re.findall(r"violations=[1-9][0-9]*[^ \"]*", text)):
                yield f"invariant: {path.stem} counted {line}"
            for line in re.findall(r".*(?:Sanitizer|terminate called|runtime error).*", text):
                yield f"crash: {path.stem}: {line}"

    def broken(self):
        for rule in (
            self.responses,
            self.halves,
            self.attempts_after_disconnect,
            self.effects,
            self.overlaps,
            self.drains,
            self.state_leases,
            self.budgets,
            self.own_counts,
        ):
            yield from rule()


def audit(folder):
    return list(Audit(folder).broken())


def counts(folder):
    """How often each kind of event was noted."""
    return collections.Counter(e["what"] for e in load(folder))


def summary(folder):
    """How much was played, in one line."""
    events = load(folder)
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

    lines = audit(sys.argv[1])
    print("\n".join(lines))
    print(summary(sys.argv[1]))
