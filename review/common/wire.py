"""HTTP/1.1 messages of the stand-ins: reading of requests and responses, and writing of streams."""

import asyncio

STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
DONE = b"data: [DONE]\n\n"


class Message:
    """A start line, header fields by lower-case name, and a body."""

    def __init__(self, start, fields, body=b""):
        self.start, self.fields, self.body = start, fields, body

    @property
    def status(self):
        return int(self.start.split(" ")[1])


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return Message(lines[0], {name.strip().lower(): value.strip() for name, _, value in pairs})


async def read_message(reader):
    """Reads a message whose length is stated; raises IncompleteReadError where the connection ends before."""
    message = await read_head(reader)
    length = int(message.fields.get("content-length", 0))
    message.body = await reader.readexactly(length) if length else b""
    return message


async def read_chunks(reader):
    """The chunks of a body as they come, without the last one; raises IncompleteReadError at an early end."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def event(request_id, index):
    text = f"{request_id}:{index}"
    return f'data: {{"choices":[{{"index":0,"delta":{{"content":"{text}"}},"finish_reason":null}}]}}\n\n'.encode()


def usage_event(prompt_tokens, tokens):
    return (
        f'data: {{"choices":[],"usage":{{"prompt_tokens":{prompt_tokens},"completion_tokens":{tokens},'
        '"prompt_tokens_details":{"cached_tokens":0}}}\n\n'
    ).encode()


def answer(status, body=b"", *fields):
    lines = "".join(f"{field}\r\n" for field in fields)
    return f"HTTP/1.1 {status}\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode() + body


async def connect(address):
    host, port = address.split(":")
    return await asyncio.open_connection(host, int(port), limit=1 << 20)
