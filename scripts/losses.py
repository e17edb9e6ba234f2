#!/usr/bin/env python3
"""Where worth was lost: a table by cause, from the records of `gannetcourse platform --records`.

usage: losses.py FOLDER-OR-FILE... [--deciles]

Reads JSON lines (other lines are passed over). Worth is counted as the records tell it: a request's class's worth
times its prompt and answer tokens. Requests of other nodes' lives are told apart by file. With --deciles: expected
against true times of reads, and expected against told kept tokens.
"""

import json
import pathlib
import sys

TELLS = {"read", "write", "prefilled", "started", "served", "refused", "failed", "deadline", "client_gone",
         "attempt_ended", "call_off", "stream_whole"}
CAUSES = ["served in time", "late first token", "late pace", "refused, never sent", "refused after an attempt",
          "failed", "out of time", "client gone"]


def words(text):
    """'chat prompt 5 aim 0.9' as {'class': 'chat', 'prompt': 5.0, 'aim': 0.9}."""
    parts = text.split()
    out = {"class": parts[0]} if len(parts) % 2 else {}
    rest = parts[1:] if len(parts) % 2 else parts
    for name, value in zip(rest[::2], rest[1::2]):
        try:
            out[name] = float(value)
        except ValueError:
            pass
    return out


def requests_of(path):
    """The lives of requests in one file: what was asked, and all that happened, in order."""
    lives = {}
    with open(path, encoding="utf-8", errors="replace") as lines:
        for line in lines:
            try:
                record = json.loads(line[max(0, line.find("{")):])  # whoever runs the node may put a time ahead
            except ValueError:
                continue
            if not isinstance(record, dict) or record.get("package") != "router" or "request" not in record:
                continue
            if record.get("action") == "taken":
                lives[record["request"]] = {"asked": words(record.get("why", "")), "at": record["at"], "told": []}
            elif record.get("action") in TELLS and record["request"] in lives:
                lives[record["request"]]["told"].append(record)
    return [life for life in lives.values() if "class" in life["asked"]]


def judge(life):
    """The cause under which a request counts, None while it is open."""
    asked, first, sent, tokens = life["asked"], None, False, 0
    for r in life["told"]:
        action = r["action"]
        sent = sent or action in ("read", "write")
        if action == "started":
            first = r["at"]
        if action == "stream_whole":
            tokens = words(r.get("why", "")).get("tokens", 0)
        if action == "served":
            life["tokens"] = tokens
            if first is None or first - life["at"] > asked.get("aim", 0):
                return "late first token"
            pace = (r["at"] - first) / tokens if tokens > 1 else 0
            return "late pace" if pace > asked.get("token", 0) > 0 else "served in time"
        if action == "refused":
            return "refused after an attempt" if sent else "refused, never sent"
        if action in ("failed", "deadline"):
            return "failed" if action == "failed" else "out of time"
        if action == "client_gone":
            return "client gone"
    return None


def table(lives):
    rows = {cause: [0, 0.0] for cause in CAUSES}
    for life in lives:
        cause = judge(life)
        if cause is None:
            continue
        asked = life["asked"]
        rows[cause][0] += 1
        rows[cause][1] += asked.get("worth", 1) * (asked.get("prompt", 0) + life.get("tokens", 0) + 1)
    all_requests = sum(n for n, _ in rows.values())
    all_worth = sum(w for _, w in rows.values()) or 1
    print(f"{'cause':26} {'requests':>8} {'share':>7} {'worth':>7}")
    for cause in CAUSES:
        n, worth = rows[cause]
        print(f"{cause:26} {n:8} {n / max(1, all_requests):7.3f} {worth / all_worth:7.3f}")


def beside(lives):
    """What costs without ending a request: attempts thrown away, states lost, prompts read anew."""
    reads = called_off = ended = lost = 0
    fresh = prompt = after_prefix = 0.0
    for life in lives:
        for r in life["told"]:
            why = r.get("why", "")
            reads += r["action"] == "read"
            called_off += r["action"] == "call_off" and why == "called off"
            ended += r["action"] == "attempt_ended"
            lost += r["action"] == "attempt_ended" and why == "status 410"
            if r["action"] == "prefilled":
                kept = words(why).get("kept", 0)
                prompt += life["asked"].get("prompt", 0)
                fresh += life["asked"].get("prompt", 0) - kept
                after_prefix += life["asked"].get("prompt", 0) - life["asked"].get("prefix", 0)
    print(f"\nreads {reads}, called off {called_off}, attempts failed {ended}, states lost {lost}")
    if prompt:
        print(f"prompt tokens read anew {fresh / prompt:.3f}, beyond their prefix {after_prefix / prompt:.3f}")


def deciles(lives):
    times, kept = [], []
    for life in lives:
        sent = None
        for r in life["told"]:
            if r["action"] == "read":
                sent = r
            if r["action"] == "prefilled" and sent:
                expected = words(sent.get("why", ""))
                times.append((expected.get("expects", 0), r["at"] - sent["at"]))
                kept.append((expected.get("kept", 0), words(r.get("why", "")).get("kept", 0)))
    for name, pairs in (("read time, s", times), ("kept tokens", kept)):
        pairs.sort()
        print(f"\n{name}: expected, true (means by decile of the expected)")
        for i in range(10):
            part = pairs[len(pairs) * i // 10:len(pairs) * (i + 1) // 10]
            if part:
                print(f"{sum(e for e, _ in part) / len(part):10.3f} {sum(t for _, t in part) / len(part):10.3f}")


def main(arguments):
    paths = [a for a in arguments if a != "--deciles"]
    if not paths or any(p.startswith("-") for p in paths):
        print(__doc__.strip(), file=sys.stderr)
        return 2
    lives = []
    for name in paths:
        path = pathlib.Path(name)
        if not path.exists():
            print(f"losses: {name}: no such file or folder", file=sys.stderr)
            return 2
        files = sorted(path.rglob("*.log")) if path.is_dir() else [path]
        for file in files:
            lives += requests_of(file)
    if not lives:
        print("losses: no records of requests; run the node with --records", file=sys.stderr)
        return 1
    table(lives)
    beside(lives)
    if "--deciles" in arguments:
        deciles(lives)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
