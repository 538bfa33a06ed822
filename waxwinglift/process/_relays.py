"""Order in which a proxy uses the control daemons."""

import xxhash


def order_relays(daemon, addresses):
    """Return control addresses, the daemon's preferred relay first.

    Rendezvous hashing spreads the proxies over the control daemons without
    any coordination.
    """

    def weight(address):
        return xxhash.xxh64_intdigest(f"{daemon} {address}".encode())

    return sorted(addresses, key=weight)
