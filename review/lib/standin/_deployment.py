"""A small deployment: programs, servers and operator."""

import asyncio
import contextlib
import os
import pathlib
import signal
import sys

from standin._common import CannotRun
from standin._common import http
from standin._common import Record
from standin._common import until
from standin._fleet import Fleet
from standin._promotions import promotion_service
from standin._requesters import Requester


def desired_state(version, services, routes):
    """Return a desired state.

    ``services`` maps a name to its ``syncReplicas``, ``routes`` a database
    to (kind, service, priority, timeoutMs, maxStalenessMs).
    """
    listed = []
    for host, (
        kind,
        service,
        priority,
        timeout_ms,
        stale_ms,
    ) in routes.items():
        route = {
            "name": f"r-{host}",
            "host": host,
            "pathPrefix": "/",
            "kind": kind,
            "timeoutMs": timeout_ms,
            "targetLatencyMs": 400,
            "priority": priority,
            "service": service,
            "maxAttempts": 2,
        }
        if stale_ms:
            route["maxStalenessMs"] = stale_ms
        listed.append(route)
    return {
        "version": version,
        "routes": listed,
        "services": [
            {
                "name": name,
                "healthPath": "/health",
                "maxConns": 23,
                "protocol": "h1",
                "tls": False,
                "syncReplicas": sync,
            }
            for name, sync in services.items()
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
            "txIdleMs": 3000,
        },
    }


async def replace_config(fleet, document, record):
    """Send a desired state until it is acknowledged."""

    async def send():
        for control in fleet.controls:
            status, _ = await http(
                control, "POST", "/Config.Replace", document
            )
            record.write(
                "POST /Config.Replace", document["version"], "->", status
            )
            if status == 200:
                return True
        return False

    return await until("the ack of the desired state", send)


@contextlib.asynccontextmanager
async def deployment(
    record,
    services,
    routes,
    controls=5,
    proxies=3,
    warm_text=b"READ warm",
    on_started=lambda fleet: [],
):
    """Run a small deployment; yield its Fleet once it serves.

    ``services`` is a list of Service, ``routes`` as in `desired_state`.  Each
    database serves once ``warm_text`` has succeeded through each proxy; None
    only opens a session.  ``on_started`` is called once the desired state is
    acknowledged and returns tasks.
    """
    async with contextlib.AsyncExitStack() as stack:
        by_name = {service.name: service for service in services}
        promotions = await stack.enter_async_context(
            promotion_service(by_name, record)
        )
        fleet = Fleet(record, controls, proxies)
        stack.enter_context(fleet.running(promotions))
        syncs = {service.name: service.sync for service in services}
        document = desired_state(7, syncs, routes)
        await replace_config(fleet, document, record)
        for task in on_started(fleet):
            stack.callback(task.cancel)
        for service in services:
            for server in service.servers.values():
                task = asyncio.ensure_future(
                    server.check_in_forever(fleet.controls)
                )
                stack.callback(task.cancel)
        await until("the proxies", fleet.are_ready)
        for database in routes:
            for frontend in fleet.frontends:
                await until(
                    f"{database} at {frontend}",
                    lambda: _is_served(record, frontend, database, warm_text),
                )
        # The core counts as stable after stableWindowMs.
        await asyncio.sleep(5)
        record.say("the deployment serves")
        try:
            yield fleet
        finally:
            for service in services:
                for server in service.servers.values():
                    server.abort_sessions()


async def _is_served(record, frontend, database, warm_text):
    requester = Requester(record)
    try:
        if not await requester.open(frontend, database):
            return False
        if warm_text is None:
            return True
        return (await requester.query(warm_text)).is_success
    finally:
        requester.close()


async def _run_until_stopped(coroutine):
    """Run a case; SIGTERM cancels it, so that it ends its processes."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    return await coroutine


def main(case):
    """Run ``case(record, trouble)`` and exit with its result.

    The case returns True if the rule held.
    """
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        held = asyncio.run(_run_until_stopped(case(record, trouble)))
    except CannotRun as error:
        record.say("cannot run:", error)
        sys.exit(2)
    except (Exception, asyncio.CancelledError) as error:
        record.say("cannot run:", repr(error))
        sys.exit(2)
    record.say("the rule held" if held else "the rule was BROKEN")
    sys.exit(0 if held else 1)
