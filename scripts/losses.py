#!/usr/bin/env python3
"""Where priority weight was lost: a table by cause, from the records of `gannetcourse platform --records`.

usage: losses.py FOLDER-OR-FILE... [--deciles]

Reads JSON lines (other lines are skipped), with the record names of this version and of earlier ones. A request weighs
its class's priority weight times its prompt and output tokens. Requests of different router processes are kept apart by
file. With --deciles: expected against actual prefill times, and expected against reported cached tokens.
"""

import json
import pathlib
import sys

# Names that earlier versions wrote, and their current names.
EARLIER_ACTIONS = {
    "taken": "accepted",
    "read": "prefill_started",
    "prefilled": "prefill_completed",
    "write": "decode_started",
    "started": "stream_started",
    "stream_whole": "stream_completed",
    "refused": "rejected",
    "deadline": "deadline_exceeded",
    "client_gone": "client_disconnected",
    "attempt_ended": "attempt_failed",
    "call_off": "call_cancelled",
}
EARLIER_FIELDS = {
    "aim": "ttft_objective",
    "token": "inter_token_objective",
    "worth": "priority_weight",
    "expects": "expected_duration",
    "kept": "cached_tokens",
}
EARLIER_REASONS = {"called off": "cancelled by the policy"}

EVENTS = {
    "prefill_started",
    "prefill_completed",
    "decode_started",
    "stream_started",
    "stream_completed",
    "served",
    "rejected",
    "failed",
    "deadline_exceeded",
    "client_disconnected",
    "attempt_failed",
    "call_cancelled",
}
CAUSES = [
    "served in time",
    "late first token",
    "slow stream",
    "rejected, never attempted",
    "rejected after an attempt",
    "failed",
    "deadline exceeded",
    "client disconnected",
]


def parse_fields(text):
    """'chat prompt 5 ttft_objective 0.9' as {'class': 'chat', 'prompt': 5.0, 'ttft_objective': 0.9}."""
    parts = text.split()
    has_class = len(parts) % 2 == 1
    fields = {"class": parts[0]} if has_class else {}
    pairs = parts[1:] if has_class else parts
    for name, value in zip(pairs[::2], pairs[1::2]):
        try:
            fields[EARLIER_FIELDS.get(name, name)] = float(value)
        except ValueError:
            pass
    return fields


def parse_record(line):
    """The record on this line with current names, None if the line has none."""
    try:
        record = json.loads(line[max(0, line.find("{")) :])  # the log may have a prefix, such as a time
    except ValueError:
        return None
    if not isinstance(record, dict) or record.get("package") != "router" or "request" not in record:
        return None
    action, reason = record.get("action"), record.get("why", "")
    record["action"] = EARLIER_ACTIONS.get(action, action)
    record["why"] = EARLIER_REASONS.get(reason, reason)
    return record


def read_requests(path):
    """The requests in one file, each with the fields of its "accepted" record and its later events in order."""
    requests = {}
    with open(path, encoding="utf-8", errors="replace") as lines:
        for line in lines:
            record = parse_record(line)
            if record is None:
                continue
            name = record["request"]
            if record["action"] == "accepted":
                requests[name] = {"fields": parse_fields(record["why"]), "at": record["at"], "events": []}
            elif record["action"] in EVENTS and name in requests:
                requests[name]["events"].append(record)
    return [request for request in requests.values() if "class" in request["fields"]]


def cause_of_served(request, first_token_at, served_at):
    objectives, tokens = request["fields"], request["tokens"]
    if first_token_at is None or first_token_at - request["at"] > objectives.get("ttft_objective", 0):
        return "late first token"
    inter_token_time = (served_at - first_token_at) / tokens if tokens > 1 else 0
    is_slow = inter_token_time > objectives.get("inter_token_objective", 0) > 0
    return "slow stream" if is_slow else "served in time"


def cause_of(request):
    """The cause under which a request is counted, None if it has not ended."""
    first_token_at, attempted, tokens = None, False, 0
    for event in request["events"]:
        action = event["action"]
        attempted = attempted or action in ("prefill_started", "decode_started")
        if action == "stream_started":
            first_token_at = event["at"]
        if action == "stream_completed":
            tokens = parse_fields(event["why"]).get("tokens", 0)
        if action == "served":
            request["tokens"] = tokens
            return cause_of_served(request, first_token_at, event["at"])
        if action == "rejected":
            return "rejected after an attempt" if attempted else "rejected, never attempted"
        if action == "failed":
            return "failed"
        if action == "deadline_exceeded":
            return "deadline exceeded"
        if action == "client_disconnected":
            return "client disconnected"
    return None


def weight_of(request):
    request_fields = request["fields"]
    return request_fields.get("priority_weight", 1) * (request_fields.get("prompt", 0) + request.get("tokens", 0) + 1)


def print_causes(requests):
    counts = {cause: 0 for cause in CAUSES}
    weights = {cause: 0.0 for cause in CAUSES}
    for request in requests:
        cause = cause_of(request)
        if cause is not None:
            counts[cause] += 1
            weights[cause] += weight_of(request)
    all_requests = max(1, sum(counts.values()))
    all_weight = sum(weights.values()) or 1
    print(f"{'cause':26} {'requests':>8} {'share':>7} {'weight':>7}")
    for cause in CAUSES:
        count = counts[cause]
        print(f"{cause:26} {count:8} {count / all_requests:7.3f} {weights[cause] / all_weight:7.3f}")


def print_wasted_work(requests):
    """Prints repeated and lost work: cancelled and failed attempts, lost states, prompt tokens prefilled again."""
    events = [event for request in requests for event in request["events"]]
    prefills = sum(e["action"] == "prefill_started" for e in events)
    cancelled = sum(e["action"] == "call_cancelled" and e["why"] == "cancelled by the policy" for e in events)
    failed = sum(e["action"] == "attempt_failed" for e in events)
    lost = sum(e["action"] == "attempt_failed" and e["why"] == "status 410" for e in events)
    print(f"\nprefills {prefills}, cancelled by the policy {cancelled}, attempts failed {failed}, states lost {lost}")

    prompt = uncached = after_prefix = 0.0
    for request in requests:
        request_fields = request["fields"]
        for event in request["events"]:
            if event["action"] == "prefill_completed":
                prompt += request_fields.get("prompt", 0)
                uncached += request_fields.get("prompt", 0) - parse_fields(event["why"]).get("cached_tokens", 0)
                after_prefix += request_fields.get("prompt", 0) - request_fields.get("prefix", 0)
    if prompt:
        print(f"prompt tokens prefilled anew {uncached / prompt:.3f}, beyond their prefix {after_prefix / prompt:.3f}")


def print_deciles(requests):
    durations, cached = [], []
    for request in requests:
        started = None
        for event in request["events"]:
            if event["action"] == "prefill_started":
                started = event
            if event["action"] == "prefill_completed" and started:
                expected = parse_fields(started["why"])
                reported = parse_fields(event["why"]).get("cached_tokens", 0)
                durations.append((expected.get("expected_duration", 0), event["at"] - started["at"]))
                cached.append((expected.get("cached_tokens", 0), reported))
    for name, pairs in (("prefill time, s", durations), ("cached tokens", cached)):
        pairs.sort()
        print(f"\n{name}: expected, actual (means by decile of the expected)")
        for i in range(10):
            part = pairs[len(pairs) * i // 10 : len(pairs) * (i + 1) // 10]
            if part:
                print(f"{sum(e for e, _ in part) / len(part):10.3f} {sum(a for _, a in part) / len(part):10.3f}")


def main(arguments):
    paths = [a for a in arguments if a != "--deciles"]
    if not paths or any(p.startswith("-") for p in paths):
        print(__doc__.strip(), file=sys.stderr)
        return 2
    requests = []
    for name in paths:
        path = pathlib.Path(name)
        if not path.exists():
            print(f"losses: {name}: no such file or folder", file=sys.stderr)
            return 2
        files = sorted(path.rglob("*.log")) if path.is_dir() else [path]
        for file in files:
            requests += read_requests(file)
    if not requests:
        print("losses: no records of requests; run the router with --records", file=sys.stderr)
        return 1
    print_causes(requests)
    print_wasted_work(requests)
    if "--deciles" in arguments:
        print_deciles(requests)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
