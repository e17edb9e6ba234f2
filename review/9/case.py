"""A node is killed and started again; a writer drains meanwhile, and the agent's first word takes a second."""

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))
import deployment  # noqa: E402
import peers  # noqa: E402
import stage  # noqa: E402

DRAINED = "w1"
FIRST_LIFE = 2.0  # seconds
DOWN = 1.0  # seconds between the kill and the next start
DRAIN_TIME = 2.2  # seconds from the drain to the end of the engine's process; the pages name 2 to 6
SLOWNESS = 1.0  # seconds until the agent's first word to a watch
SECOND_LIFE = 5.0  # seconds
GRACE = 0.25 + 0.05  # of the settings, and what the page adds on sockets
REQUESTS_PER_SECOND = 40
BUDGET_MS = 6000


async def end_drained(fleet):
    await asyncio.sleep(DRAIN_TIME)
    fleet.end(DRAINED)


async def case(record):
    site = deployment.Deployment(record, events=20, pause=0.1)
    agent = site.agents["agent"]
    try:
        await site.start()
        load = site.run(peers.load(record, site.node_port, REQUESTS_PER_SECOND, BUDGET_MS))
        await asyncio.sleep(FIRST_LIFE)
        await stage.cancel([load])
        site.node.send_signal(signal.SIGKILL)
        await site.node.process.wait()
        agent.change(DRAINED, "draining")
        site.run(end_drained(site.fleet))
        agent.delay = SLOWNESS if stage.TROUBLE else 0
        await asyncio.sleep(DOWN)
        site.node = site.new_node("agent")
        started_at = await site.node.start()
        await site.node.wait_until_ready()
        requests = []
        site.run(peers.load(record, site.node_port, REQUESTS_PER_SECOND, BUDGET_MS, requests))
        await asyncio.sleep(SECOND_LIFE)
        record.write("accepted requests whose answer was cut", count=sum(r.broken for r in requests))
        return [
            f"request {request} was sent to {engine}, which drains, {at - started_at:.3f} s after the node's start"
            for at, engine, _, request, _ in site.fleet.attempts
            if engine == DRAINED and at > started_at + GRACE
        ]
    finally:
        await site.stop()


stage.play(HERE, case)
