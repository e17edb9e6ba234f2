"""Shared by all processes of the soak: an event log with monotonic timestamps, and HTTP/1.1 messages."""

import json
import time


class EventLog:
    """Appends one JSON object per line to the process's own file; the audit merges the files by time."""

    def __init__(self, folder, name):
        self._file = open(f"{folder}/{name}.events", "a", buffering=1, encoding="utf-8")
        self._who = name

    def write(self, what, **fields):
        self._file.write(json.dumps({"t": time.monotonic(), "who": self._who, "what": what, **fields}) + "\n")


class Message:
    """One request or response: start line, header fields by lower-case name, and body."""

    def __init__(self, start, fields, body):
        self.start, self.fields, self.body = start, fields, body


async def read_message(reader, has_body=True):
    """Reads one message with a Content-Length. Raises IncompleteReadError if the connection ends within the message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {
        name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:] if line)
    }
    length = int(fields.get("content-length", 0)) if has_body else 0
    return Message(lines[0], fields, await reader.readexactly(length) if length else b"")


def chunk(data):
    """Encodes one chunk of a chunked body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


LAST_CHUNK = b"0\r\n\r\n"
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


def event(request_id, index):
    """Encodes one event. It contains the request ID, so that a client detects events of other requests."""
    return f'data: {{"id":"{request_id}","index":{index}}}\n\n'.encode()


DONE = b"data: [DONE]\n\n"
