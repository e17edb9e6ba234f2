"""Clients that send several requests at once on a connection, and a planned restart. Exits with 1 if a node closes such
a connection without an answer to a request that it had read before SIGTERM."""

import asyncio
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

import client  # noqa: E402
import deployment  # noqa: E402
import engines  # noqa: E402
import wire  # noqa: E402

CLIENTS, REQUESTS = 3, 3  # connections, and requests sent at once on each
BUDGET = 6.0  # seconds
SIGTERM_AFTER = 1.0  # seconds after the requests were sent
SIGKILL_AFTER = 4.0  # seconds after SIGTERM: 3 s for the longest deadline, and 0.7 s more


def unread_bytes(node_address, client_port):
    """What the kernel of the node's machine still holds of a client's bytes: the node has read all others."""
    node_port = int(node_address.split(":")[1])
    for line in pathlib.Path("/proc/net/tcp").read_text(encoding="ascii").splitlines()[1:]:
        fields = line.split()
        ports = [int(address.split(":")[1], 16) for address in fields[1:3]]
        if ports == [node_port, client_port]:
            return int(fields[4].split(":")[1], 16)
    return None


class PipeliningClient:
    """Sends its requests at once on one connection, and reads their answers one after the other."""

    def __init__(self, record, number):
        self.record, self.answers, self.unread = record, [], None
        self.requests = [f"{number:08x}{i:08x}" for i in range(REQUESTS)]

    async def play(self, address):
        reader, writer = await wire.connect(address)
        port = writer.get_extra_info("sockname")[1]
        request = {"budget_ms": int(BUDGET * 1000), "prompt": 500, "max_out": 60}
        writer.write(b"".join(client.encode(i, **request) for i in self.requests))
        self.record.write("client", f"sent {', '.join(self.requests)} on one connection")
        look = asyncio.create_task(self.look(address, port))
        for request_id in self.requests:
            answer = client.Answer(request_id)
            await client.read_answer(reader, answer)
            self.answers.append(answer)
            self.record.write("client", f"answer to {request_id}: {answer.describe()}")
        await look
        writer.close()

    async def look(self, address, port):
        await asyncio.sleep(SIGTERM_AFTER - 0.1)
        self.unread = unread_bytes(address, port)
        self.record.write("platform", f"bytes of {', '.join(self.requests)} that {address} has not read: {self.unread}")


async def restart(record, node):
    """A planned restart: SIGTERM, and SIGKILL for a node that has not ended in time."""
    await asyncio.sleep(SIGTERM_AFTER)
    node.process.send_signal(signal.SIGTERM)
    record.write("platform", f"SIGTERM to {node.name}")
    signalled = time.monotonic()
    try:
        await asyncio.wait_for(node.process.wait(), SIGKILL_AFTER)
        record.write("platform", f"{node.name} ended {time.monotonic() - signalled:.3f} s after SIGTERM")
    except asyncio.TimeoutError:
        node.process.send_signal(signal.SIGKILL)
        record.write("platform", f"SIGKILL to {node.name}")


async def play(record):
    states = engines.States(record)
    reader = engines.Reader("reader", record, states)
    writer = engines.Writer("writer", record, states, 200_000)
    await reader.start()
    await writer.start()
    listed = [
        deployment.entry("reader", reader.address, "prefill"),
        deployment.entry("writer", writer.address, "decode"),
    ]
    discovery = deployment.Discovery(record, listed)
    await discovery.start()
    node = deployment.Node(record, discovery, deployment.settings())
    clients = [PipeliningClient(record, number) for number in range(CLIENTS)]
    try:
        await node.start()
        tasks = [asyncio.create_task(one.play(node.address)) for one in clients]
        if deployment.TROUBLE:
            tasks.append(asyncio.create_task(restart(record, node)))
        await asyncio.gather(*tasks)
        return (clients,)
    finally:
        await node.stop()


def judge(record, clients):
    if any(one.unread != 0 for one in clients):
        record.conclude("the node had not read all requests: nothing is told of the rule")
        return 2
    lost = [answer.request_id for one in clients for answer in one.answers if answer.status is None]
    if lost:
        record.conclude(f"lost: read before SIGTERM and closed with no answer: {', '.join(lost)}")
        return 1
    record.conclude(f"held: {sum(len(one.answers) for one in clients)} requests were answered")
    return 0


if __name__ == "__main__":
    sys.exit(deployment.run_case(HERE, play, judge))
