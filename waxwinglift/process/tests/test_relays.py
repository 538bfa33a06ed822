"""Guards the choice of the control daemon that a proxy uses."""

import asyncio
import collections

import pytest

from waxwinglift.process import Address
from waxwinglift.process import DataCentre
from waxwinglift.process import Location
from waxwinglift.process import Region
from waxwinglift.process._relays import order_relays
from waxwinglift.process._relays import RelayOrder
from waxwinglift.process.tests import test_control as control

OWN = Location(DataCentre("dc-1"), Region("region-1"))
RELAYS = [Address(f"10.0.0.{number}", 7000) for number in range(6)]
# Data centre and region of each control daemon; None where not known.
PLACES = [
    ("dc-3", "region-2"),
    ("dc-1", "region-1"),
    ("dc-2", "region-1"),
    ("dc-1", "region-1"),
    ("dc-1", "region-3"),
    None,
]


def make_order(daemon="proxy-0", rule="nearest", places=PLACES):
    """Return the order of a proxy that has learned the locations."""
    order = RelayOrder(daemon, OWN, rule, RELAYS)
    locations = {
        address: None if place is None else Location(*place)
        for address, place in zip(RELAYS, places)
    }
    order.update(RELAYS, locations)
    return order


def failing(order, count):
    """Return the relays that are used while one after another fails."""
    used = []
    for number in range(count):
        used.append(order.current)
        order.fail(float(number))
    return used


@pytest.mark.parametrize(
    ("rule", "places"),
    [("hash", PLACES), ("nearest", [None] * len(RELAYS))],
)
def test_order_is_by_hash_without_locations(rule, places):
    """Proxies must keep the present order unless told otherwise."""
    order = make_order(rule=rule, places=places)
    assert order.find_nearer(0.0) is None
    assert failing(order, 6) == order_relays("proxy-0", RELAYS)


def test_near_relays_are_preferred_and_the_others_are_substitutes():
    """Renewals to another region are charged; a lease needs any relay."""
    order = make_order()
    nearer = order.find_nearer(0.0)
    assert nearer in (RELAYS[1], RELAYS[3])
    order.move_to(nearer, 0.0)
    assert order.find_nearer(0.0) is None
    used = failing(order, 6)
    assert set(used[:2]) == {RELAYS[1], RELAYS[3]}
    assert used[2] == RELAYS[2]
    assert set(used[3:]) == {RELAYS[0], RELAYS[4], RELAYS[5]}
    assert order.current == used[0]


def test_relays_of_equal_distance_have_even_shares():
    """All proxies of a data centre at one relay would overload it."""
    counts = collections.Counter()
    for number in range(1000):
        order = make_order(f"proxy-{number}")
        counts[order.find_nearer(0.0) or order.current] += 1
    assert counts.keys() == {RELAYS[1], RELAYS[3]}
    assert min(counts.values()) > 430


def test_failed_near_relays_are_tried_again_at_growing_intervals():
    """A relay that grants leases but brings no entries is used in vain."""
    order = make_order(places=[None, *PLACES[1:2], *[None] * 4])
    near = RELAYS[1]
    order.move_to(near, 0.0)
    now_ms, delays_ms = 0.0, []
    for _ in range(6):
        order.fail(now_ms)
        failed_ms = now_ms
        while order.find_nearer(now_ms) is None:
            now_ms += 1000.0
        delays_ms.append(now_ms - failed_ms)
        order.move_to(near, now_ms)
    assert delays_ms == [5e3, 10e3, 20e3, 40e3, 80e3, 80e3]
    order.fail(now_ms + 100e3)
    assert order.find_nearer(now_ms + 104e3) is None
    assert order.find_nearer(now_ms + 105e3) == near


def test_removed_relays_are_not_used():
    """The address of a removed control daemon may belong to nobody."""
    order = make_order()
    order.move_to(order.find_nearer(0.0), 0.0)
    order.update(RELAYS[:1], {})
    assert order.current == RELAYS[0]
    assert not order.is_nearer(RELAYS[1])


def _member_rows(addresses, near):
    rows = []
    for number, address in enumerate(addresses):
        place = 1 if address == near else 2
        location = {"data_centre": f"dc-{place}", "region": f"region-{place}"}
        rows.append(
            {
                "member": f"control-{number}",
                "address": str(address),
                "location": location,
            }
        )
    return rows


def test_proxy_moves_to_a_near_relay_and_keeps_its_lease(tmp_path):
    """A lease that ends by the move would interrupt the service."""

    async def work():
        addresses = control.free_addresses(3)
        near = order_relays("proxy-0", addresses)[-1]
        options = {
            "addresses": addresses,
            "members": _member_rows(addresses, near),
        }
        async with control.running_group(tmp_path, 3, **options) as members:
            async with control.running_link(
                members, relay_order="nearest"
            ) as link:
                await control.wait_until(link.view.lease_is_live)
                await control.wait_until(lambda: link.relay == near)
                for _ in range(100):
                    assert link.view.lease_is_live()
                    await asyncio.sleep(0.02)
                await control.propose(members, control.make_edit("a", 0))
                await control.wait_until(
                    lambda: "payouts" in link.view.fleet.pools
                )
                failed = next(m for m in members if m.settings.listen == near)
                await failed.stop()
                await control.wait_until(lambda: link.relay != near)
                await control.wait_until(link.view.lease_is_live)

    asyncio.run(work())


def test_members_that_find_their_group_state_their_location(tmp_path):
    """Without locations the proxies of the platform would use far relays."""

    async def work():
        addresses = control.free_addresses(2)
        options = {
            "addresses": addresses,
            "discovery": {
                "seeds": [str(address) for address in addresses],
                "may_found": True,
            },
        }
        async with control.running_group(tmp_path, 2, **options) as members:
            leader = await control.leader_of(members)
            known = leader.node.fleet.members
            await control.wait_until(lambda: len(known) == 2)
            return {member.location for member in known.values()}

    assert asyncio.run(work()) == {OWN}
