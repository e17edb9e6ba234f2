"""The oracle of the soak: the rules, checked against what all stand-ins saw. Bounds are the pages' own plus SLACK for
a busy machine; what a trouble makes unknowable is left out, and said where."""

import collections
import json
import pathlib
import re

SLACK = 0.3  # seconds that processes here may be late to note what they saw
PIN_LIMIT = 1.0
PIN_ALLOWANCE = 0.35  # 0.3 s by the fleet's page and 0.05 s of sockets
GRACE = 0.25 + 0.05
DEADLINE_SLACK = 0.5  # a late answer only earns nothing up to here
BUDGET_SLACK = 0.15
LEFT_GRACE = 0.1
HALF_WITHIN = 3.0
KEYED_WINDOW = 2.0 + 0.05


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
        self.by_id = collections.defaultdict(lambda: collections.defaultdict(list))
        for e in self.events:
            if "id" in e:
                self.by_id[e["id"]][e["what"]].append(e)
        self.of_node = collections.defaultdict(lambda: collections.defaultdict(list))
        self.troubled_engine = collections.defaultdict(list)  # times at which an engine or its path was in trouble
        for e in self.events:
            if "node" in e and e["who"] == "soak":
                self.of_node[e["node"]][e["what"]].append(e["t"])
            if e["what"] in ("mode", "engine_down"):
                self.troubled_engine[e["engine"]].append(e["t"])

    def node_killed(self, node, since, until):
        return any(since <= t <= until for t in self.of_node[node]["sigkill"])

    def asked(self):
        return [(i, what["asked"][0], what) for i, what in self.by_id.items() if what["asked"]]

    # ---- Rule 1 ----
    def answers(self):
        for request_id, ask, what in self.asked():
            by = ask["t"] + ask["budget"] / 1000 + DEADLINE_SLACK + SLACK
            if self.node_killed(ask["node"], ask["t"] - SLACK, by + 30) or what["left"] and not what["started"] \
                    and what["left"][0]["t"] < by:
                continue
            first = what["started"] or what["answered"]
            if what["cut"] and not first:
                # A connection that has been used may be closed between requests; the request is sent again then. A
                # new one may be shut unread while a crowd fills the descriptors.
                crowded = any(ask["t"] - 5 < t < ask["t"] + 5 for t in self.of_node[ask["node"]]["crowd"])
                if what["sent"] or ask["fresh"] and not crowded:
                    yield f"lost: {request_id} at {ask['node']}, its connection was closed without an answer"
            elif not first and not what["cut"]:
                yield f"lost: {request_id} at {ask['node']}, no answer in {ask['budget']} ms"
            elif first and first[0]["t"] > by:
                yield f"lost: {request_id} at {ask['node']}, answered {first[0]['t'] - by:.3f} s late"
            if any(a.get("right") is False for a in what["answered"]):
                yield f"lost: {request_id} at {ask['node']}, served with what no engine made for it"
            if len(what["answered"]) > 1:
                yield f"lost: {request_id}, two answers"

    def halves(self):
        for e in self.events:
            if e["what"] != "half" or e["took"] <= HALF_WITHIN + SLACK:
                continue
            if not self.node_killed(e["node"], e["t"] - 10, e["t"]):
                yield f"half: a client that stopped in a request at {e['node']} waited {e['took']:.2f} s"

    def after_leaving(self):
        for request_id, ask, what in self.asked():
            for left in what["left"]:
                late = [s for s in what["sent"] if s["method"] == "POST" and s["t"] > left["t"] + LEFT_GRACE + SLACK]
                if late:
                    yield f"lost: {request_id} at {ask['node']}, an attempt {late[0]['t'] - left['t']:.3f} s after its " \
                          "client left"

    # ---- Rule 2 ----
    def effects(self):
        for request_id, ask, what in self.asked():
            never = {round(e["t"], 3) for e in what["never_ran"]}
            runs = [b for b in what["began"] if b["role"] == "decode" and b["trouble"] != "rejected"]
            if ask["cls"] == "pay":
                if len(runs) > 1:
                    yield f"duplicate: {request_id} ran {len(runs)} times, {len(never)} turned away"
                refused = [a for a in what["answered"] if a["status"] in (429, 503)]
                if refused and runs:
                    yield f"duplicate: {request_id} was refused, but ran"
            if ask["cls"] == "keyed" and runs and runs[-1]["t"] - runs[0]["t"] > KEYED_WINDOW + SLACK:
                yield f"duplicate: {request_id} ran again {runs[-1]['t'] - runs[0]['t']:.3f} s after its first run"

    def overlaps(self):
        for request_id, _, what in self.asked():
            began, ended = what["began"], what["ended"]
            for earlier, later in zip(began, began[1:]):
                end = next((e["t"] for e in ended if e["who"] == earlier["who"] and e["t"] >= earlier["t"]), None)
                # An engine that was killed does not tell of an end; a path in trouble delivers a request, or its
                # connection's end, after the node has given it up.
                troubles = self.troubled_engine[earlier["who"]] + self.troubled_engine[later["who"]]
                if end is None or any(earlier["t"] - 5 < t < later["t"] + 5 for t in troubles):
                    continue
                if end > later["t"] + SLACK:
                    yield f"duplicate: {request_id} out at {earlier['who']} and {later['who']} for " \
                          f"{end - later['t']:.3f} s"

    # ---- Rule 3 ----
    def drains(self):
        told = {}
        for e in self.events:
            if e["what"] == "node_up":  # a new process has not been told anything yet
                told = {key: since for key, since in told.items() if key[0] != e["node"]}
            elif e["what"] == "told":
                key = (e["node"], e["engine"])
                if e["status"] == "up":
                    told.pop(key, None)
                else:
                    told.setdefault(key, e["t"])
            elif e["what"] == "sent" and e["method"] == "POST":
                since = told.get(tuple(e["pair"].split(">")))
                if since is not None and e["t"] > since + GRACE + SLACK:
                    yield f"drain: {e['id']} sent by {e['pair']} {e['t'] - since:.3f} s after it was told"

    # ---- Rule 5 ----
    @staticmethod
    def out_until(began, what, end):
        """When an attempt was over, and `end` where it was still out then: its engine notes the close a little later
        than another one the release."""
        over = next((e["t"] for e in what["ended"] if e["who"] == began["who"] and e["t"] >= began["t"]), end)
        return min(over, end)

    def pins(self):
        for request_id, ask, what in self.asked():
            if self.node_killed(ask["node"], ask["t"] - SLACK, ask["t"] + 15):
                continue
            for held in what["held"]:
                free = min((e["t"] for e in what["released"] + what["took"] if e["t"] >= held["t"]), default=None)
                end = free if free is not None else self.events[-1]["t"]
                since = max([held["t"], *(self.out_until(b, what, end) for b in what["began"]
                                          if held["t"] <= b["t"] <= end)])
                # Calls that cannot come up let time run on; paths in trouble are not judged here.
                calm = not any(held["t"] - 5 < t < end + 1 for times in self.troubled_engine.values() for t in times)
                faulted = any(held["t"] - 3 < t < end for t in self.of_node[ask["node"]]["system_calls"])
                if end - since > PIN_LIMIT + PIN_ALLOWANCE + SLACK and calm and not faulted:
                    yield f"pinned: {request_id} of {ask['node']} held at {held['who']} for {end - since:.3f} s"

    # ---- Deadlines told ----
    def budgets(self):
        for request_id, ask, what in self.asked():
            sends = [s for s in what["sent"] if s["method"] == "POST"]
            for began in what["began"]:
                sent = next((s for s in sends if s["pair"].endswith(">" + began["who"])), None)
                if sent is None:
                    continue
                left = ask["t"] + ask["budget"] / 1000 - sent["t"]
                if began["budget"] / 1000 > left + BUDGET_SLACK + SLACK:
                    yield f"deadline: {request_id} of {ask['node']} told {began['budget']} ms with {left * 1000:.0f} left"

    def own_counts(self):
        """What the nodes' own guard counted."""
        for path in pathlib.Path(self.folder).glob("n*.log"):
            text = path.read_text(encoding="utf-8", errors="replace")
            for line in set(re.findall(r"violations=[1-9][0-9]*[^ \"]*", text)):
                yield f"invariant: {path.stem} counted {line}"
            for line in re.findall(r".*(?:Sanitizer|terminate called|runtime error).*", text):
                yield f"crash: {path.stem}: {line}"

    def broken(self):
        for rule in (self.answers, self.halves, self.after_leaving, self.effects, self.overlaps, self.drains, self.pins,
                     self.budgets, self.own_counts):
            yield from rule()


def audit(folder):
    return list(Audit(folder).broken())


def summary(folder):
    """How much was played, so that an empty run cannot pass for a clean one."""
    events = load(folder)
    count = collections.Counter(e["what"] for e in events)
    served = sum(1 for e in events if e["what"] == "answered" and e["status"] == 200)
    refused = sum(1 for e in events if e["what"] == "answered" and e["status"] in (429, 503))
    return f"asked={count['asked']} served={served} refused={refused} left={count['left']} cut={count['cut']} " \
           f"attempts={count['began']} halves={count['half']}"


if __name__ == "__main__":
    import sys
    lines = audit(sys.argv[1])
    print("\n".join(lines))
    print(summary(sys.argv[1]))
