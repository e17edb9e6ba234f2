"""All open watches fall silent; the agent answers new ones after some seconds. Then an engine drains."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))
import deployment  # noqa: E402
import peers  # noqa: E402
import stage  # noqa: E402

DRAINED = "r1"
SILENT_AT = 3.0  # seconds after the node is ready
SLOWNESS = 3.0  # seconds until the agent's first word to a new watch
DRAIN_AFTER = 5.0  # seconds after the silence began
TOLD_AFTER = 6.0  # seconds after which a change counts as told, whether or not it arrived
GRACE = 0.25 + 0.05  # of the settings, and what the page adds on sockets
WATCHED_FOR = 10.0  # seconds after it counts as told
REQUESTS_PER_SECOND = 20
BUDGET_MS = 6000


async def case(record):
    site = deployment.Deployment(record)
    agent = site.agents["agent"]
    try:
        await site.start()
        site.run(peers.load(record, site.node_port, REQUESTS_PER_SECOND, BUDGET_MS))
        await asyncio.sleep(SILENT_AT)
        agent.silence()
        agent.delay = SLOWNESS if stage.TROUBLE else 0
        await asyncio.sleep(DRAIN_AFTER)
        agent.change(DRAINED, "draining")
        told_at = record.now() + TOLD_AFTER
        await asyncio.sleep(TOLD_AFTER + WATCHED_FOR)
        return [
            f"request {request} was sent to {engine}, {at - told_at:.3f} s after its drain counts as told"
            for at, engine, _, request, _ in site.fleet.attempts
            if engine == DRAINED and at > told_at + GRACE
        ]
    finally:
        await site.stop()


stage.play(HERE, case)
