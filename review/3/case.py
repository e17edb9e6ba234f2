"""Writers whose memory runs out: an answer goes back into its writer's queue, and goes on within 5 s. Exits with 1 if a
node cuts such a stream."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

import client  # noqa: E402
import deployment  # noqa: E402
import engines  # noqa: E402

LIMIT = 5.0  # seconds that a client may be left waiting after a running engine's last event
REQUESTS = 12
PREFIX = ("5c0f6e1a2b3d4c59", 7600)  # the beginning that all prompts share, and its tokens
PROMPT, ANSWER, FIRST_ANSWER = 8300, 230, 158  # tokens; the first answer is the shortest
MEMORY = 100_000 if deployment.TROUBLE else 200_000  # tokens that a writer holds


async def play(record):
    states = engines.States(record)
    reader = engines.Reader("reader", record, states)
    writer = engines.Writer("writer", record, states, MEMORY)
    await reader.start()
    await writer.start()
    listed = [
        deployment.entry("reader", reader.address, "prefill"),
        deployment.entry("writer", writer.address, "decode"),
    ]
    discovery = deployment.Discovery(record, listed)
    await discovery.start()
    node = deployment.Node(record, discovery, deployment.settings(familyInfo={"kindMemoryTokens": [200_000, MEMORY]}))
    try:
        await node.start()
        tasks = []
        for i in range(REQUESTS):
            tokens = FIRST_ANSWER if i == 0 else ANSWER
            request = {"request_class": "route-review", "budget_ms": 12000, "prompt": PROMPT, "max_out": tokens}
            tasks.append(asyncio.create_task(client.ask(node.address, record, f"{i:016x}", prefix=PREFIX, **request)))
            await asyncio.sleep(0.1)
        answers = {answer.request_id: answer for answer in await asyncio.gather(*tasks)}
        await asyncio.sleep(LIMIT)  # writers go on, whatever the node has cut
        return answers, writer.resumed
    finally:
        await node.stop()


def judge(record, answers, resumed):
    cut_early = [(i, pause) for i, pause, cut in resumed if cut and pause < LIMIT and not answers[i].whole]
    for request_id, pause in cut_early:
        record.conclude(f"lost: {request_id} was cut, its engine wrote on {pause:.3f} s after its last event")
    if cut_early:
        return 1
    if any(answer.status != 200 or not answer.whole for answer in answers.values()):
        record.conclude("some answers are not whole for other reasons: nothing is told of the rule")
        return 2
    if deployment.TROUBLE and not any(4 < pause < LIMIT for _, pause, _ in resumed):
        record.conclude("no answer was paused for 4 to 5 s")
        return 2
    record.conclude(f"held: {len(answers)} answers are whole, {len(resumed)} of them paused")
    return 0


if __name__ == "__main__":
    sys.exit(deployment.run_case(HERE, play, judge))
