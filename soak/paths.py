"""When engines could be reached, from the log of what the soak did to them and to their paths."""

import collections

# The proxy's modes in which what a node sends, or what its engine answers, does not arrive.
SILENT_MODES = ("hold", "deaf", "mute")
# How long an engine has to have been reachable before a node can be expected to have found it.
FOUND_AFTER = 0.2


class Interval(collections.namedtuple("Interval", "since until")):
    """A span of time, open where `until` is None."""

    def covers(self, t):
        return self.since <= t and (self.until is None or t < self.until)


def union(intervals):
    """The same spans, in order and without overlaps; all of them closed."""
    merged = []
    for span in sorted(intervals):
        if merged and span.since <= merged[-1].until:
            merged[-1] = Interval(merged[-1].since, max(merged[-1].until, span.until))
        else:
            merged.append(span)
    return merged


def gaps(intervals, since, until):
    """What the spans leave of [since, until]."""
    left, at = [], since
    for span in union(intervals):
        if span.since > at:
            left.append(Interval(at, min(span.since, until)))
        at = max(at, span.until)
    if at < until:
        left.append(Interval(at, until))
    return left


class Paths:
    """Reachability of engines over a run."""

    def __init__(self, events):
        self.start = events[0]["t"] if events else 0
        self.end = events[-1]["t"] if events else 0
        self.unreachable = {}  # engine -> spans
        engines = {e["engine"] for e in events if "engine" in e}
        engines |= {e["who"] for e in events if e["what"] in ("began", "held", "took")}
        for engine in engines:
            spans = self._path_silent(events, engine) + self._process_away(events, engine)
            self.unreachable[engine] = union(spans)

    def _spans(self, switches):
        """Spans between (time, True) and the next (time, False)."""
        spans, since = [], None
        for t, away in switches:
            if away and since is None:
                since = t
            elif not away and since is not None:
                spans.append(Interval(since, t))
                since = None
        return spans + ([Interval(since, self.end)] if since is not None else [])

    def _path_silent(self, events, engine):
        return self._spans(
            (e["t"], e["mode"] in SILENT_MODES)
            for e in events
            if e["what"] == "mode" and e["engine"] == engine and e["mode"] != "reset"
        )

    def _process_away(self, events, engine):
        def down(e):
            return e["what"] == "engine_down" and e["engine"] == engine

        def stopped(e):
            return e["what"] in ("engine_stopped", "engine_continued") and e["engine"] == engine

        downs = self._spans((e["t"], down(e)) for e in events if down(e) or e["what"] == "up" and e["who"] == engine)
        stops = self._spans((e["t"], e["what"] == "engine_stopped") for e in events if stopped(e))
        return downs + stops

    def nothing_reachable(self):
        """Spans in which no engine had been reachable for long enough to be found."""
        found = []
        for spans in self.unreachable.values():
            found += [
                Interval(gap.since + FOUND_AFTER, gap.until)
                for gap in gaps(spans, self.start - 60, self.end)
                if gap.until - gap.since > FOUND_AFTER
            ]
        return gaps(found, self.start, self.end)
