"""Computes when engines were reachable from the logged faults of engine processes and of network paths."""

import collections

# Modes of the fault proxy in which it does not forward requests, responses or both.
SILENT_MODES = ("hold", "deaf", "mute")
# Time in seconds that a node may take to detect that an engine is reachable again.
DETECTION_TIME = 0.2


class Interval(collections.namedtuple("Interval", "since until")):
    """A time interval in seconds, without an end if `until` is None."""

    def covers(self, t):
        return self.since <= t and (self.until is None or t < self.until)


def union(intervals):
    """Sorts the intervals and merges those that overlap. All intervals must have an end."""
    merged = []
    for span in sorted(intervals):
        if merged and span.since <= merged[-1].until:
            merged[-1] = Interval(merged[-1].since, max(merged[-1].until, span.until))
        else:
            merged.append(span)
    return merged


def gaps(intervals, since, until):
    """The parts of [since, until] that no interval covers."""
    uncovered, position = [], since
    for span in union(intervals):
        if span.since > position:
            uncovered.append(Interval(position, min(span.since, until)))
        position = max(position, span.until)
    if position < until:
        uncovered.append(Interval(position, until))
    return uncovered


class EngineReachability:
    """The intervals of a run in which each engine could not be reached."""

    def __init__(self, events):
        self.start = events[0]["t"] if events else 0
        self.end = events[-1]["t"] if events else 0
        self.outages = {}  # engine -> intervals
        engines = {e["engine"] for e in events if "engine" in e}
        engines |= {e["who"] for e in events if e["what"] in ("began", "held", "took")}
        for engine in engines:
            spans = self._path_outages(events, engine) + self._process_outages(events, engine)
            self.outages[engine] = union(spans)

    def _intervals(self, transitions):
        """Intervals from each (time, True) to the next (time, False)."""
        spans, since = [], None
        for t, unavailable in transitions:
            if unavailable and since is None:
                since = t
            elif not unavailable and since is not None:
                spans.append(Interval(since, t))
                since = None
        return spans + ([Interval(since, self.end)] if since is not None else [])

    def _path_outages(self, events, engine):
        return self._intervals(
            (e["t"], e["mode"] in SILENT_MODES)
            for e in events
            if e["what"] == "mode" and e["engine"] == engine and e["mode"] != "reset"
        )

    def _process_outages(self, events, engine):
        def down(e):
            return e["what"] == "engine_down" and e["engine"] == engine

        def stopped(e):
            return e["what"] in ("engine_stopped", "engine_continued") and e["engine"] == engine

        downs = self._intervals(
            (e["t"], down(e)) for e in events if down(e) or e["what"] == "up" and e["who"] == engine
        )
        stops = self._intervals((e["t"], e["what"] == "engine_stopped") for e in events if stopped(e))
        return downs + stops

    def total_outages(self):
        """Intervals in which each engine was unreachable or had become reachable less than DETECTION_TIME before."""
        detectable = []
        for spans in self.outages.values():
            detectable += [
                Interval(gap.since + DETECTION_TIME, gap.until)
                for gap in gaps(spans, self.start - 60, self.end)
                if gap.until - gap.since > DETECTION_TIME
            ]
        return gaps(detectable, self.start, self.end)
