"""Small stand-ins for the platform: servers, operator, callers, promotions.

They follow PROTOCOL.md and DEPLOY.md and use the standard library only.  The
daemons are started as separate processes by the commands of the deploy file.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_MS = 1200
LINE_LIMIT_BYTES = 2**21


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start_s = time.monotonic()

    def __call__(self, text):
        elapsed_s = time.monotonic() - self._start_s
        self._file.write(f"{elapsed_s:8.3f} {text}\n")
        self._file.flush()

    def say(self, text):
        """Write a line to the record and to standard output."""
        self(text)
        print(text, flush=True)


# Addresses and settings of a small deployment.


def _find_free_ports(ips, count):
    """Return ports that are free on all addresses."""
    found = []
    while len(found) < count:
        port = random.randrange(20000, 32000)
        if port not in found and all(_is_free(ip, port) for ip in ips):
            found.append(port)
    return found


def _is_free(ip, port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


@dataclasses.dataclass
class Machine:
    """A machine with one daemon; ``zone`` is a data centre of ZONES."""

    name: str
    role: str
    ip: str
    zone: str
    process: subprocess.Popen | None = None
    starts_count: int = 0


ZONES = {"ub-a": "ulaanbaatar", "dk-a": "darkhan", "er-a": "erdenet"}


class Deployment:
    """Daemons of a small deployment, as processes on loopback addresses.

    Parameters
    ----------
    record : Record
    control_zones, proxy_zones : sequence of str
        One machine for each entry.
    """

    def __init__(self, record, control_zones, proxy_zones):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        base = f"127.{os.getpid() % 200 + 20}.{os.getpid() // 200 % 250 + 1}"
        numbers = itertools.count(1)
        self.control = [
            Machine(f"core-{zone}-{n}", "control", f"{base}.{n}", zone)
            for zone, n in zip(control_zones, numbers)
        ]
        self.proxies = [
            Machine(f"frontend-{zone}-{n}", "proxy", f"{base}.{n}", zone)
            for zone, n in zip(proxy_zones, itertools.count(101))
        ]
        ips = [m.ip for m in self.control + self.proxies]
        ports = _find_free_ports(ips, 3)
        self.control_port, self.caller_port, self.ready_port = ports
        self.inner_ports = self._find_inner_ports(ips)
        self.promotion_address = None

    def _find_inner_ports(self, ips):
        while True:
            first = random.randrange(33000, 60000)
            if all(_is_free(ip, first + n) for ip in ips for n in range(16)):
                return first, first + 15

    @property
    def control_addresses(self):
        return [(m.ip, self.control_port) for m in self.control]

    def caller_address(self, machine):
        return machine.ip, self.caller_port

    def start(self, machine, bootstrap=False):
        """Start the daemon of a machine by the command of the deploy file."""
        path = self.folder / f"{machine.name}.toml"
        path.write_text(self._settings(machine, bootstrap), encoding="utf-8")
        deploy = tomllib.loads(
            (REPOSITORY / "deploy/system.toml").read_text(encoding="utf-8")
        )
        command = deploy["roles"][machine.role]["run"].split()
        machine.starts_count += 1
        log_folder = os.environ.get("REVIEW_LOGS") or self.folder
        log = open(pathlib.Path(log_folder) / f"{machine.name}.log", "ab")
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(REPOSITORY / "target/deps"),
            "WAXWINGLIFT_CONFIG": str(path),
        }
        machine.process = subprocess.Popen(
            command,
            cwd=REPOSITORY,
            env=environment,
            stdout=log,
            stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
        )
        log.close()
        self.record(
            f"start {machine.name} pid {machine.process.pid} "
            f"bootstrap={str(bootstrap).lower()}"
        )

    def data_folder(self, machine):
        return self.folder / "data" / machine.name

    def kill(self, machine):
        """End a daemon by SIGKILL and wait for its end."""
        machine.process.send_signal(signal.SIGKILL)
        machine.process.wait()
        self.record(f"SIGKILL {machine.name}")

    def lose_disk(self, machine):
        """Remove the data of a machine whose daemon does not run."""
        shutil.rmtree(self.data_folder(machine), ignore_errors=True)
        self.record(f"{machine.name} has lost its disk")

    def _settings(self, machine, bootstrap):
        is_control = machine.role == "control"
        if is_control:
            self.data_folder(machine).mkdir(parents=True, exist_ok=True)
        seeds = [f"{m.ip}:{self.control_port}" for m in self.control[:3]]
        lines = [
            f'nodeName = "{machine.name}"',
            f'role = "{machine.role}"',
            f'machineClass = "{"core" if is_control else "frontend"}"',
            f'serves = ["{"control_plane" if is_control else "frontend"}"]',
            f'ip = "{machine.ip}"',
            f'zone = "{machine.zone}"',
            f'region = "{ZONES[machine.zone]}"',
            f"internalPorts = {json.dumps(list(self.inner_ports))}",
            f"seeds = {json.dumps(seeds)}",
            f"bootstrap = {str(bootstrap).lower()}",
            f"faultCounted = {str(is_control).lower()}",
            'discovery = "registration"',
            'entry = "virtual_ip"',
            f"heartbeatMs = {HEARTBEAT_MS}",
            'contracts = ["base","drain","config","cost","recover","sql"]',
            'config_mode = "highest"',
        ]
        if is_control:
            lines.append(f'dataDir = "{self.data_folder(machine)}"')
        lines += ["[zones]"] + [f'{z} = "{r}"' for z, r in ZONES.items()]
        lines.append("[bindAddrs]")
        if is_control:
            lines.append(f'control = "{machine.ip}:{self.control_port}"')
        else:
            lines += [
                f'frontendAddr = "{machine.ip}:{self.caller_port}"',
                f'readinessAddr = "{machine.ip}:{self.ready_port}"',
            ]
        lines += [
            "[faultTolerance]",
            "machines = 2",
            "zones = 0",
            "regions = 0",
            "[bounds]",
            "seedLagS = 3",
            "reuseAfterS = 2",
            "stableWindowMs = 5000",
            "ackMs = 6000",
            "catchUpS = 4",
            "drainMs = 7000",
            "graceS = 6",
            "lossSlackMs = 200",
            "configApplyMs = 3000",
            "rollbackSlackMs = 250",
            "maxSkewMs = 15000",
            "recoveryS = 12",
            "fencingRequired = true",
            "thawMs = 300",
        ]
        if self.promotion_address is not None:
            host, port = self.promotion_address
            lines += [
                "[cloudApi]",
                f'address = "{host}:{port}"',
                "ratePerS = 50.0",
                'duties = ["failover"]',
                "dutyPerS = 50.0",
            ]
        return "\n".join(lines) + "\n"

    def stop(self):
        """End all daemons and remove the temporary folder."""
        running = [
            m.process
            for m in self.control + self.proxies
            if m.process is not None and m.process.poll() is None
        ]
        for process in running:
            process.kill()
        for process in running:
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


# HTTP.


async def call(address, method, path, body=None, headers=(), timeout_s=1.0):
    """Return status and body of one HTTP call, (0, b"") without an answer."""
    data = b"" if body is None else json.dumps(body).encode()
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {address[0]}:{address[1]}",
        "Content-Type: application/json",
        f"Content-Length: {len(data)}",
        "Connection: close",
        *headers,
    ]
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split(b" ", 2)[1])
            length = 0
            for line in head.split(b"\r\n"):
                name, _, value = line.partition(b":")
                if name.lower() == b"content-length":
                    length = int(value)
            return status, await reader.readexactly(length)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


class Promotions:
    """The platform's address for ``POST /promote``, with fencing checks."""

    def __init__(self, record, groups):
        self._record = record
        self._groups = groups
        self._fences = {}
        self._server = None

    async def start(self):
        """Listen and return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[:2]

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            headers = {}
            for line in head.decode().split("\r\n")[1:]:
                name, _, value = line.partition(":")
                headers[name.lower()] = value.strip()
            body = await reader.readexactly(
                int(headers.get("content-length", 0))
            )
            status = self._promote(json.loads(body), headers)
            writer.write(
                b"HTTP/1.1 %d X\r\nContent-Length: 2\r\n\r\n{}" % status
            )
            await writer.drain()
        writer.close()

    def _promote(self, body, headers):
        fence = int(headers["fencing-token"])
        group = self._groups[body["service"]]
        status = 409
        if fence >= self._fences.get(group.name, -1):
            self._fences[group.name] = fence
            status = group.order_promotion(body["id"])
        self._record(
            f"POST /promote service {group.name} id {body['id']} holder "
            f"{headers['lease-holder']} fence {fence}: {status}"
        )
        return status


# Servers.


@dataclasses.dataclass(frozen=True)
class Commit:
    """Writes that were committed together: (item, data, request id)."""

    term: int
    number: int
    writes: tuple

    @property
    def position(self):
        return self.term, self.number


class Group:
    """One service: a primary and its replicas.

    Parameters
    ----------
    sync : int
        Replicas that must have received a commit before its answer.
    receive_s, promote_s : float
        Delay of replication, and of a promotion after the call.
    """

    def __init__(self, record, name, sync=0, receive_s=0.005, promote_s=0.6):
        self.record = record
        self.name = name
        self.sync = sync
        self.receive_s = receive_s
        self.promote_s = promote_s
        self.term = 1
        self.primary = None
        self.servers = {}
        self._promoting = None

    async def add(self, name, zone):
        """Start a server; the first one is the primary."""
        server = Server(self, name, zone)
        self.servers[name] = server
        if self.primary is None:
            self.primary = name
        await server.start()
        return server

    def order_promotion(self, name):
        """Order a promotion; return the status of the call."""
        server = self.servers.get(name)
        if server is None or not server.is_up:
            return 409
        if self.primary != name and self._promoting != name:
            self._promoting = name
            asyncio.ensure_future(self._promote(name))
        return 200

    async def _promote(self, name):
        await asyncio.sleep(self.promote_s)
        self._promoting = None
        chosen = self.servers[name]
        if not chosen.is_up:
            return
        self.primary = name
        self.term += 1
        for server in self.servers.values():
            server.paused_term = 0
            if server is not chosen:
                # Replicas that were ahead are rolled back.
                server.log = list(chosen.log)
        self.record(
            f"{name} leads term {self.term} with {len(chosen.log)} commits"
        )
        for server in self.servers.values():
            server.report_now()

    async def commit(self, server, writes):
        """Commit at a server; return False if it is not the leader.

        Waits for ``sync`` replicas to receive the commit.
        """
        if self.primary != server.name:
            return False
        term = self.term
        commit = Commit(term, server.position[1] + 1, tuple(writes))
        server.log.append(commit)
        received = [
            asyncio.ensure_future(self._replicate(server, replica, commit))
            for replica in self.servers.values()
            if replica is not server
        ]
        if self.sync:
            await self._wait_for_replicas(received)
        return self.primary == server.name and self.term == term

    async def _wait_for_replicas(self, received):
        pending = set(received)
        count = 0
        while pending and count < self.sync:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            count += sum(task.result() for task in done)
        if count < self.sync:
            # No replica is left that can receive it before a promotion.
            await asyncio.sleep(3600)

    async def _replicate(self, source, replica, commit):
        """Send one commit; return whether the replica has received it."""
        await asyncio.sleep(self.receive_s)
        while True:
            if self.primary != source.name or self.term != commit.term:
                return False
            if not source.is_up:
                return False
            has_previous = replica.position[1] == commit.number - 1
            if replica.is_up and not replica.paused_term and has_previous:
                replica.log.append(commit)
                return True
            await asyncio.sleep(0.005)


class Server:
    """One database server."""

    def __init__(self, group, name, zone, slots=3, max_conns=23):
        self.group = group
        self.name = name
        self.zone = zone
        self.born = int(time.time() * 1000)
        self.log = []
        self.paused_term = 0
        self.state = "ready"
        self.is_up = False
        # Whether control can neither reach the server nor be reached by it.
        self.is_cut_from_control = False
        self.work_s = 0.006
        self.max_conns = max_conns
        self.slots_count = slots
        self.address = None
        # (request id, text) of each statement that was run.
        self.run = []
        self.sessions = set()
        self._slots = asyncio.Semaphore(slots)
        self._sequence = itertools.count(1)
        self._receipts = itertools.count(1)
        self._server = None
        self._beat_task = None
        self._beat_now = asyncio.Event()
        self.acknowledged_s = {}

    @property
    def position(self):
        return self.log[-1].position if self.log else (1, 0)

    @property
    def is_leader(self):
        return self.group.primary == self.name

    def requests(self):
        """Return the ids of the committed writes."""
        return [r for c in self.log for _, _, r in c.writes]

    async def start(self):
        self.is_up = True
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=LINE_LIMIT_BYTES
        )
        self.address = self._server.sockets[0].getsockname()[:2]

    def start_beats(self, addresses):
        """Send check-ins to the control addresses from now on."""
        self._beat_task = asyncio.ensure_future(self._beat(addresses))

    def report_now(self):
        """Send the next check-in now."""
        self._beat_now.set()

    def drain(self):
        """Report that the server leaves; it goes on serving."""
        self.state = "draining"
        self.report_now()

    async def leave(self, addresses):
        """Deregister and exit."""
        if self._beat_task is not None:
            self._beat_task.cancel()
        await self._call_any(
            addresses,
            f"/Instances.Deregister/{self.name}",
            {"born": self.born},
        )
        self.crash()

    def crash(self):
        """Exit without a word."""
        self.is_up = False
        if self._beat_task is not None:
            self._beat_task.cancel()
        self._server.close()
        for writer in list(self.sessions):
            writer.transport.abort()

    async def _call_any(self, addresses, path, body):
        if self.is_cut_from_control:
            await asyncio.sleep(1.0)
            return False
        for address in random.sample(addresses, len(addresses)):
            status, _ = await call(address, "POST", path, body)
            if 200 <= status < 300:
                return True
        return False

    async def _beat(self, addresses):
        while True:
            self._beat_now.clear()
            state = self.state
            is_acked = await self._call_any(
                addresses, f"/Instances.Heartbeat/{self.name}", self._body()
            )
            if is_acked and state not in self.acknowledged_s:
                self.acknowledged_s[state] = time.monotonic()
                self.group.record(f"check-in {state} of {self.name} is acked")
            wait_s = HEARTBEAT_MS / 1000 if is_acked else 0.2
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._beat_now.wait()

    def _body(self):
        return {
            "service": self.group.name,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": "v1",
            "capacity": self.slots_count,
            "state": self.state,
            "warmupLeftMs": 0,
            "dbRole": "primary" if self.is_leader else "replica",
            "sequence": next(self._sequence),
            "born": self.born,
        }

    def receipt(self, request):
        return f"{self.name}.{next(self._receipts)}.{request}"

    async def _serve(self, reader, writer):
        self.sessions.add(writer)
        errors = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)
        try:
            with contextlib.suppress(*errors):
                await _ServerSession(self, reader, writer).serve()
        finally:
            self.sessions.discard(writer)
            writer.close()

    async def use_slot(self, work_s):
        async with self._slots:
            await asyncio.sleep(work_s)


# Statements that only control sends.
_CONTROL_WORDS = ("STATUS", "PAUSE", "RESUME", "DEMOTE")


class _ServerSession:
    """One connection to a server."""

    def __init__(self, server, reader, writer):
        self._server = server
        self._group = server.group
        self._reader = reader
        self._writer = writer
        self._writes = None
        self._is_read_only = False
        self._is_failed = False
        self._values = {}
        self._prepared = {}

    async def serve(self):
        line = await self._read()
        fields = line.split(" ")
        if fields[0] != "STARTUP":
            return
        server = self._server
        if fields[1] != self._group.name or (
            len(fields) > 3 and fields[3] != server.name
        ):
            self._send(f"ERROR MISROUTED {server.name}")
            return
        if len(server.sessions) > server.max_conns:
            self._send(f"ERROR TOOMANY {server.name}")
            return
        await server.use_slot(0.002)
        self._send_ready()
        while True:
            word, _, rest = (await self._read()).partition(" ")
            if word != "QUERY":
                return
            request, _, text = rest.partition(" ")
            await self._query(request, text)

    async def _read(self):
        line = await self._reader.readuntil(b"\r\n")
        return line[:-2].decode("latin-1")

    def _send(self, *lines):
        if self._server.is_up:
            data = "".join(f"{line}\r\n" for line in lines)
            self._writer.write(data.encode("latin-1"))

    def _send_ready(self):
        state = "I"
        if self._writes is not None:
            state = "E" if self._is_failed else "T"
        term, number = self._server.position
        self._send(f"READY {state} {term}.{number}")

    async def _query(self, request, text):
        word, _, rest = text.partition(" ")
        if word in _CONTROL_WORDS and self._server.is_cut_from_control:
            # Nothing passes between control and this server.
            await asyncio.sleep(3600)
        if word == "AFTER":
            field, _, text = rest.partition(" ")
            position = tuple(int(part) for part in field.split("."))
            word, _, rest = text.partition(" ")
            if self._server.position < position:
                self._fail("LAGGING")
                self._send_ready()
                return
        handler = getattr(self, f"_on_{word.lower()}", None)
        if handler is None:
            self._fail("MALFORMED")
        elif self._is_failed and word not in ("ROLLBACK", "COMMIT"):
            self._fail("MALFORMED")
        else:
            await handler(request, text, rest)
        self._send_ready()

    def _fail(self, code):
        if self._writes is not None:
            self._is_failed = True
        self._send(f"ERROR {code} {self._server.name}")

    async def _on_begin(self, request, text, rest):
        if rest != "READ" and not self._server.is_leader:
            self._fail("READONLY")
            return
        self._writes = []
        self._is_read_only = rest == "READ"
        self._is_failed = False
        self._send("COMPLETE -")

    async def _on_rollback(self, request, text, rest):
        self._writes = None
        self._is_failed = False
        self._send("COMPLETE -")

    async def _on_commit(self, request, text, rest):
        writes, self._writes = self._writes, None
        is_failed, self._is_failed = self._is_failed, False
        if writes is None or is_failed:
            self._send("COMPLETE -")
            return
        await self._server.use_slot(self._server.work_s)
        if writes and not await self._group.commit(self._server, writes):
            self._fail("READONLY")
            return
        self._server.run.append((request, text, "in a transaction"))
        self._send(f"COMPLETE {self._server.receipt(request)}")

    async def _on_read(self, request, text, rest):
        if not self._may_run():
            return
        await self._server.use_slot(self._server.work_s)
        self._note(request, text)
        value = ""
        for commit in self._server.log:
            for item, data, _ in commit.writes:
                value = data if item == rest else value
        receipt = self._server.receipt(request)
        self._send(f"DATAROW {value}", f"COMPLETE {receipt}")

    async def _on_write(self, request, text, rest):
        item, _, data = rest.partition(" ")
        await self._write(request, text, item, data)

    async def _on_execute(self, request, text, rest):
        name, _, arguments = rest.partition(" ")
        if name not in self._prepared:
            self._fail("NOSTMT")
        elif self._prepared[name] == "WRITE":
            item, _, data = arguments.partition(" ")
            await self._write(request, text, item, data)
        else:
            await self._on_read(request, text, arguments)

    async def _write(self, request, text, item, data):
        if not self._server.is_leader or self._is_read_only:
            self._fail("READONLY")
            return
        await self._server.use_slot(self._server.work_s)
        self._note(request, text)
        write = (item, data, request)
        if self._writes is not None:
            self._writes.append(write)
        elif not await self._group.commit(self._server, [write]):
            self._fail("READONLY")
            return
        self._send(f"COMPLETE {self._server.receipt(request)}")

    def _may_run(self):
        is_plain = self._writes is not None and not self._is_read_only
        if is_plain and not self._server.is_leader:
            self._fail("READONLY")
            return False
        return True

    def _note(self, request, text):
        place = "alone" if self._writes is None else "in a transaction"
        self._server.run.append((request, text, place))

    async def _on_set(self, request, text, rest):
        name, _, value = rest.partition(" ")
        self._values[name] = value
        self._send("COMPLETE -")

    async def _on_reset(self, request, text, rest):
        self._values.clear()
        self._prepared.clear()
        self._send("COMPLETE -")

    async def _on_prepare(self, request, text, rest):
        name, access, _ = rest.split(" ", 2)
        self._prepared[name] = access
        self._send("COMPLETE -")

    async def _on_dealloc(self, request, text, rest):
        self._prepared.pop(rest, None)
        self._send("COMPLETE -")

    async def _on_status(self, request, text, rest):
        await self._server.use_slot(0.001)
        self._send_status()

    async def _on_pause(self, request, text, rest):
        term = int(rest)
        if term > self._group.term and not self._server.is_leader:
            self._server.paused_term = term
            self._group.record(
                f"PAUSE {term} of {self._server.name} at position "
                f"{self._server.position[0]}.{self._server.position[1]}"
            )
        self._send_status()

    async def _on_resume(self, request, text, rest):
        self._server.paused_term = 0
        self._send_status()

    def _send_status(self):
        server = self._server
        role = "primary" if server.is_leader else "replica"
        term, number = server.position
        self._send(
            f"DATAROW {role} {self._group.term} {term}.{number} "
            f"{server.paused_term} 0 0 {len(server.sessions)}",
            "COMPLETE -",
        )


# Operator and callers.


def desired_state(version, routes, services):
    """Return a desired state.

    ``routes`` holds (host, kind, priority, service), ``services`` holds
    (name, sync).
    """
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{host}",
                "host": host,
                "pathPrefix": "/",
                "kind": kind,
                "timeoutMs": 800,
                "targetLatencyMs": 400,
                "priority": priority,
                "service": service,
                "maxAttempts": 2,
                "maxStalenessMs": 1500,
            }
            for host, kind, priority, service in routes
        ],
        "services": [
            {
                "name": name,
                "healthPath": "/health",
                "maxConns": 23,
                "protocol": "h1",
                "tls": False,
                "syncReplicas": sync,
            }
            for name, sync in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
            "txIdleMs": 3000,
        },
    }


async def send_state(record, document, addresses, limit_s=20.0):
    """Send a desired state until it is acked; return the acking address."""
    end_s = time.monotonic() + limit_s
    for address in itertools.cycle(addresses):
        if time.monotonic() > end_s:
            return None
        status, _ = await call(address, "POST", "/Config.Replace", document)
        if status == 200:
            record(f"version {document['version']} is acked by {address[0]}")
            return address
        await asyncio.sleep(0.02)


async def read_state(address):
    """Return the version that a daemon reads back, None without a 200."""
    status, body = await call(address, "GET", "/Config.Get")
    return json.loads(body)["version"] if status == 200 else None


@dataclasses.dataclass(frozen=True)
class Answer:
    """Answer to one statement; without one, ``state`` is empty."""

    request: str
    rows: tuple = ()
    receipt: str = ""
    error: str = ""
    state: str = ""

    @property
    def is_success(self):
        return bool(self.state) and not self.error


_REQUESTS = itertools.count(1)


def new_request():
    """Return a request id that was not used before."""
    return f"{os.getpid():08x}{next(_REQUESTS):08x}"


class Caller:
    """A session at a proxy."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    @contextlib.asynccontextmanager
    async def connected(cls, address, database, timeout_s=2.0):
        """Yield a session; raises OSError without one."""
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                *address, limit=LINE_LIMIT_BYTES
            )
        caller = cls(reader, writer)
        try:
            writer.write(f"STARTUP {database} tester\r\n".encode())
            async with asyncio.timeout(timeout_s):
                answer = await caller.answer("")
            if answer.error or not answer.state:
                raise ConnectionError(answer.error)
            yield caller
        finally:
            writer.close()

    def send(self, *statements):
        """Send statements as (request id, text) in one piece."""
        data = "".join(f"QUERY {r} {t}\r\n" for r, t in statements)
        self.writer.write(data.encode("latin-1"))

    async def query(self, text, request=None, timeout_s=10.0):
        """Run one statement."""
        request = request or new_request()
        self.send((request, text))
        async with asyncio.timeout(timeout_s):
            return await self.answer(request)

    async def answer(self, request):
        """Read one answer."""
        rows, receipt, error = [], "", ""
        while True:
            try:
                line = await self.reader.readuntil(b"\r\n")
            except (asyncio.IncompleteReadError, OSError):
                return Answer(request, tuple(rows), receipt, error, "")
            word, _, rest = line[:-2].decode("latin-1").partition(" ")
            if word == "DATAROW":
                rows.append(rest)
            elif word == "COMPLETE":
                receipt = rest
            elif word == "ERROR":
                error = rest
            elif word == "READY":
                state = rest.split(" ")[0]
                return Answer(request, tuple(rows), receipt, error, state)


async def wait_for(condition, limit_s=30.0):
    """Wait until a coroutine function returns a true value; return it."""
    end_s = time.monotonic() + limit_s
    while time.monotonic() < end_s:
        found = await condition()
        if found:
            return found
        await asyncio.sleep(0.1)
    raise CouldNotRun("timed out while the deployment started")


async def can_write(address, database):
    """Return whether a write through a proxy succeeds."""
    with contextlib.suppress(OSError, TimeoutError):
        async with Caller.connected(address, database) as caller:
            answer = await caller.query(f"WRITE warmup {time.time()}")
            return answer.is_success
    return False


class CouldNotRun(Exception):
    """The case could not be run."""


def run_case(folder, case):
    """Run ``case(record, has_trouble)`` and exit with its code.

    The case returns whether the rule held.
    """
    # A script that is stopped ends the processes that it started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    folder = pathlib.Path(folder)
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.say(f"TROUBLE={int(has_trouble)}")
    try:
        held = asyncio.run(_limited(case(record, has_trouble)))
    except (CouldNotRun, TimeoutError) as error:
        record.say(f"could not run: {error!r}")
        sys.exit(2)
    record.say("the rule held" if held else "THE RULE WAS BROKEN")
    sys.exit(0 if held else 1)


async def _limited(coroutine):
    async with asyncio.timeout(110):
        return await coroutine
