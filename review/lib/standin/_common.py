"""Record of a run, and calls over HTTP."""

import asyncio
import json
import pathlib
import time

START_LIMIT_S = 40.0


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w")
        self._started_s = time.monotonic()

    def write(self, *words):
        """Write one line with the time since the start of the script."""
        now_s = time.monotonic() - self._started_s
        print(f"{now_s:8.3f}", *words, file=self._file, flush=True)

    def say(self, *words):
        """Write one line to the record and to standard output."""
        self.write(*words)
        print(*words, flush=True)


class CannotRun(Exception):
    """The case could not be set up."""


async def until(description, condition, limit_s=START_LIMIT_S):
    """Await ``condition`` every 100 ms until it returns a true value."""
    deadline_s = time.monotonic() + limit_s
    while time.monotonic() < deadline_s:
        value = await condition()
        if value:
            return value
        await asyncio.sleep(0.1)
    raise CannotRun(f"timed out while waiting for {description}")


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", 0))
    body = await reader.readexactly(size) if size else b""
    return lines[0], headers, body


async def http(address, method, path, body=None, limit_s=1.0):
    """Send one call; return the status and the body, (0, b"") without one."""
    data = b"" if body is None else json.dumps(body).encode()
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {address[0]}\r\n"
                "Content-Type: application/json\r\n"
                f"Content-Length: {len(data)}\r\n\r\n".encode()
                + data
            )
            line, _, answer = await read_head(reader)
            return int(line.split(" ")[1]), answer
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()
