"""Demo of the platform's interfaces: payouts while the primary leaves.

Starts control daemons and proxies as processes, each on its own loopback
address; servers, operator and callers are stand-ins.  Prints the outcomes of
the payouts and the longest pause between two acknowledgements.  Exits with
code 1 if a payout is lost, duplicated, or executed although it was refused,
if there is not exactly one change of primary, or if the pause is too long.
"""

import asyncio
import contextlib
import itertools
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

from waxwinglift.platform._settings import SETTINGS_VARIABLE
from waxwinglift_standin import platform

CONTROL_IPS = ("127.0.71.1", "127.0.71.2", "127.0.71.3")
PROXY_IPS = ("127.0.72.1", "127.0.72.2")
SERVICE = "ledger"
ROUTE_KINDS = {"payouts": "primary", "balances": "bounded_staleness"}
START_TIMEOUT_S = 30.0
RUN_S = 8.0
LEAVE_AFTER_S = 3.0
ANNOUNCE_INTERVAL_S = 0.5
CALLERS_COUNT = 4
PAUSE_BOUND_MS = 3000
STOP_TIMEOUT_S = 10.0


class PayoutOutcomes:
    """Outcomes of the payouts as reported to the callers."""

    def __init__(self):
        self.acknowledged = set()
        self.refused = set()
        self.unknown = set()
        self.longest_pause_ms = 0.0
        self._last_acknowledged_s = None

    def record(self, answer):
        """Record the answer to one payout."""
        error_code = answer.error.split(b" ")[0]
        if answer.is_success:
            now_s = time.monotonic()
            if self._last_acknowledged_s is not None:
                pause_ms = (now_s - self._last_acknowledged_s) * 1000
                self.longest_pause_ms = max(self.longest_pause_ms, pause_ms)
            self._last_acknowledged_s = now_s
            self.acknowledged.add(answer.request)
        elif error_code in (b"BUSY", b"ABORTED", b"LAGGING"):
            self.refused.add(answer.request)
        else:
            self.unknown.add(answer.request)


@contextlib.contextmanager
def running_daemons(folder, promotion_api):
    """Run control daemons and proxies as processes within the context."""
    processes = []
    roles = [("control", ip) for ip in CONTROL_IPS]
    roles += [("proxy", ip) for ip in PROXY_IPS]
    try:
        for number, (role, ip) in enumerate(roles):
            name = f"{role}-{number}"
            path = folder / f"{name}.toml"
            data = folder / name
            data.mkdir()
            platform.write_settings(
                path,
                name,
                ip,
                CONTROL_IPS,
                role,
                dataDir=str(data),
                cloudApi={"address": str(promotion_api)},
            )
            log = (folder / f"{name}.log").open("wb")
            processes.append(
                subprocess.Popen(
                    [sys.executable, "-m", "waxwinglift.platform", role],
                    env={**os.environ, SETTINGS_VARIABLE: str(path)},
                    stdout=log,
                    stderr=subprocess.STDOUT,
                )
            )
        yield processes
    finally:
        for process in processes:
            process.send_signal(signal.SIGTERM)
        for process in processes:
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()


async def announce_forever(group):
    """Announce each server to control at a fixed interval."""
    addresses = [platform.control_address(ip) for ip in CONTROL_IPS]
    for sequence in itertools.count(1):
        for server in group.servers.values():
            await platform.announce(server, sequence, addresses)
        await asyncio.sleep(ANNOUNCE_INTERVAL_S)


async def wait_for(description, condition):
    """Await ``condition`` every 200 ms until it returns a true value."""
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline_s:
        if await condition():
            return
        await asyncio.sleep(0.2)
    raise SystemExit(f"demo: timed out while waiting for {description}")


async def can_pay():
    """Return whether a payout through the last proxy succeeds."""
    address = platform.caller_address(PROXY_IPS[-1])
    with contextlib.suppress(OSError):
        async with platform.Caller.connected(address, "payouts") as caller:
            return (await caller.query("WRITE warmup 1")).is_success
    return False


async def send_payouts(outcomes, number, deadline_s):
    """Write payouts sequentially, with a new connection every 50 payouts.

    The proxy changes after 50 attempts to connect.
    """
    for batch in itertools.count():
        if time.monotonic() > deadline_s:
            return
        ip = PROXY_IPS[(number + batch // 50) % len(PROXY_IPS)]
        address = platform.caller_address(ip)
        with contextlib.suppress(OSError):
            async with platform.Caller.connected(address, "payouts") as caller:
                for item in range(50):
                    text = f"WRITE payout-{number}-{batch}-{item} 100"
                    outcomes.record(await caller.query(text))
                    if time.monotonic() > deadline_s:
                        return


def print_report(outcomes, group):
    """Print the outcomes and return the exit code."""
    stored = group.logs[group.primary].requests()
    lost = outcomes.acknowledged - set(stored)
    duplicates_count = len(stored) - len(set(stored))
    executed_refusals = outcomes.refused & set(stored)
    print(f"acknowledged payouts    {len(outcomes.acknowledged)}")
    print(f"refused, not run        {len(outcomes.refused)}")
    print(f"with unknown outcome    {len(outcomes.unknown)}")
    print(f"changes of primary      {group.promotions_count}")
    print(f"longest pause           {outcomes.longest_pause_ms:.0f} ms")
    print(
        f"lost {len(lost)}, duplicated {duplicates_count}, "
        f"refused but executed {len(executed_refusals)}"
    )
    is_passed = (
        not (lost or duplicates_count or executed_refusals)
        and group.promotions_count == 1
    )
    is_passed = is_passed and 0 < outcomes.longest_pause_ms < PAUSE_BOUND_MS
    print("demo: passed" if is_passed else "demo: FAILED")
    return 0 if is_passed else 1


async def main():
    """Run the demo and return its exit code."""
    group = platform.ServerGroup(SERVICE)
    for name in ("s1", "s2", "s3"):
        await group.add(name, "dc-1")
    tokens = itertools.count(1)
    outcomes = PayoutOutcomes()
    async with contextlib.AsyncExitStack() as stack:
        folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        promotion_api = await stack.enter_async_context(
            platform.serving_promotions({SERVICE: group}, tokens.__next__)
        )
        stack.callback(group.stop)
        stack.enter_context(running_daemons(folder, promotion_api))
        announcing = asyncio.ensure_future(announce_forever(group))
        stack.callback(announcing.cancel)
        document = platform.make_desired_state(7, SERVICE, ROUTE_KINDS)
        addresses = [platform.control_address(ip) for ip in CONTROL_IPS]
        await wait_for(
            "the desired state",
            lambda: platform.replace_desired_state(document, addresses),
        )
        await wait_for("the first payout", can_pay)
        deadline_s = time.monotonic() + RUN_S
        callers = [
            send_payouts(outcomes, n, deadline_s) for n in range(CALLERS_COUNT)
        ]
        running = asyncio.gather(*callers)
        await asyncio.sleep(LEAVE_AFTER_S)
        group.servers[group.primary].is_draining = True
        await running
        return print_report(outcomes, group)


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
