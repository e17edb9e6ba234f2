"""Spoilt answers that never end: after its last event an engine sends load reports that can't be read. Exits with 1 if
a node leaves the client waiting for longer than 5 s."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

import client  # noqa: E402
import deployment  # noqa: E402
import engines  # noqa: E402
import wire  # noqa: E402

LIMIT, SLACK = 5.0, 0.05  # seconds after a running engine's last event; "every time limit is 50 ms longer"
UNREADABLE_REPORT = b": X-Load-Report: TEXT inflight=?, queue=2\n\n"
REPORT_INTERVAL = 1.0  # seconds
GIVE_UP = 40.0  # seconds after which the run ends, whatever is still open
EVENTS = 15  # of each whole answer, beside the last ones
SPOILT = {"0000000000000001": 5, "0000000000000003": EVENTS}  # events after which only reports come, by request
REQUESTS = 4


class SpoiltWriter(engines.Engine):
    """Writes whole answers, but for the spoilt ones."""

    def __init__(self, name, record, states):
        super().__init__(name, record, states)
        self.last_event_at = {}

    async def run(self, request, reader, writer):
        request_id = request.fields["x-call-id"]
        self.record.write(self.name, f"attempt {request_id} arrived")
        if not self.states.take(request_id):
            writer.write(wire.answer("410 Gone", b"", "X-Rejected: 1"))
            return
        writer.write(wire.STREAM_HEAD)
        spoilt_after = SPOILT.get(request_id) if deployment.TROUBLE else None
        for index in range(EVENTS if spoilt_after is None else spoilt_after):
            writer.write(wire.chunk(wire.event(request_id, index)))
            await asyncio.sleep(0.1)
        if spoilt_after in (None, EVENTS):
            writer.write(wire.chunk(wire.usage_event(500, 4 * EVENTS)) + wire.chunk(wire.DONE))
        self.last_event_at[request_id] = time.monotonic()
        if spoilt_after is not None:
            await self.send_reports(request_id, reader, writer)
        writer.write(wire.chunk(b": X-Load-Report: TEXT mean_ms=30, x0=0.2, x1=0\n\n") + wire.LAST_CHUNK)
        self.record.write(self.name, f"{request_id} written to its last chunk")

    async def send_reports(self, request_id, reader, writer):
        """Sends reports until the node closes the connection, and longer than any run lasts."""
        self.record.write(self.name, f"last event of {request_id}: from here on load reports that can't be read")
        while not reader.at_eof():
            writer.write(wire.chunk(UNREADABLE_REPORT))
            await asyncio.sleep(REPORT_INTERVAL)
        self.record.write(self.name, f"the node has closed the connection of {request_id}")
        raise ConnectionError


async def ask(node, record, request_id):
    """The answer to one request, and whether its client still waited for its end as the run ended."""
    answer = client.Answer(request_id)
    reader, writer = await wire.connect(node.address)
    writer.write(client.encode(request_id, prompt=500, max_out=4 * EVENTS))
    record.write("client", f"sent {request_id}")
    try:
        await asyncio.wait_for(client.read_answer(reader, answer), GIVE_UP)
        record.write("client", f"answer to {request_id}: {answer.describe()}")
    except asyncio.TimeoutError:
        record.write("client", f"{request_id} is still open, {len(answer.events)} events")
    writer.close()
    return answer


async def play(record):
    states = engines.States(record)
    reader = engines.Reader("reader", record, states)
    writer = SpoiltWriter("writer", record, states)
    await reader.start()
    await writer.start()
    listed = [
        deployment.entry("reader", reader.address, "prefill"),
        deployment.entry("writer", writer.address, "decode"),
    ]
    discovery = deployment.Discovery(record, listed)
    await discovery.start()
    node = deployment.Node(record, discovery, deployment.settings())
    try:
        await node.start()
        answers = await asyncio.gather(*(ask(node, record, f"{i:016x}") for i in range(REQUESTS)))
        return answers, writer.last_event_at, time.monotonic()
    finally:
        await node.stop()


def judge(record, answers, last_event_at, ended_at):
    spoilt = {i for i in SPOILT if deployment.TROUBLE}
    if any(a.status != 200 or not a.whole for a in answers if a.request_id not in spoilt) or not spoilt <= set(
        last_event_at
    ):
        record.conclude("sound answers are not whole, or no answer was spoilt: nothing is told of the rule")
        return 2
    late = {}
    for answer in (a for a in answers if a.request_id in spoilt):
        waited = (answer.ended_at or ended_at) - last_event_at[answer.request_id]
        if waited > LIMIT + SLACK:
            late[answer.request_id] = waited
    for request_id, waited in late.items():
        record.conclude(f"lost: the client of {request_id} was left waiting for {waited:.1f} s after its last event")
    if not late:
        record.conclude(f"held: {len(answers)} answers ended in time, {len(spoilt)} of them spoilt")
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(deployment.run_case(HERE, play, judge))
