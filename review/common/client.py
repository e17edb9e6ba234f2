"""A sound client: one request at a time on a connection, answers read to their end."""

import asyncio
import json
import random
import time

import wire


def encode(
    request_id,
    request_class="field-query",
    budget_ms=6000,
    prompt=1000,
    max_out=100,
    prefix=None,
    rand=random,
    fields=(),
):
    """A request whose prompt has `prompt` tokens of four characters."""
    shared = f"prefix={prefix[0]},prefix_len={prefix[1]}," if prefix else ""
    words = "abcd" * prompt
    body = json.dumps(
        {"model": "chat", "stream": True, "max_tokens": max_out, "messages": [{"role": "user", "content": words}]}
    )
    head = [
        "POST /v1/chat/completions HTTP/1.1",
        "Host: backend.local",
        f"X-Call-Id: {request_id}",
        f"X-Call-Class: {request_class}",
        f"X-Route-Hash: {rand.getrandbits(64):016x}",
        f"X-Budget-Ms: {budget_ms}",
        f"X-Call-Info: {shared}prompt_len={prompt},max_out={max_out}",
        *fields,
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
    ]
    return ("\r\n".join(head) + "\r\n\r\n" + body).encode()


class Answer:
    """What a client got for one request. `whole` tells whether the stream came to its last chunk."""

    def __init__(self, request_id):
        self.request_id, self.status, self.events, self.whole = request_id, None, [], False
        self.sent_at, self.ended_at, self.event_times = time.monotonic(), None, []

    def describe(self):
        end = "to its last chunk" if self.whole else "not to its last chunk"
        return f"status {self.status}, {len(self.events)} events, {end}, after {self.ended_at - self.sent_at:.3f} s"


async def read_answer(reader, answer):
    try:
        head = await wire.read_head(reader)
        answer.status = head.status
        if "chunked" in head.fields.get("transfer-encoding", ""):
            async for data in wire.read_chunks(reader):
                answer.events.append(data)
                answer.event_times.append(time.monotonic())
        else:
            await reader.readexactly(int(head.fields.get("content-length", 0)))
        answer.whole = True
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    answer.ended_at = time.monotonic()


async def ask(address, record, request_id, **request):
    """Sends one request on a connection of its own and reads its answer."""
    reader, writer = await wire.connect(address)
    answer = Answer(request_id)
    writer.write(encode(request_id, **request))
    await writer.drain()
    record.write("client", f"sent {request_id}")
    await read_answer(reader, answer)
    record.write("client", f"answer to {request_id}: {answer.describe()}")
    writer.close()
    return answer
