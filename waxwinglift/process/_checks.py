"""Validators that several settings models share."""

import ipaddress
import re

from waxwinglift.process._types import Address

NAME_PATTERN = re.compile(r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$")

PORT_MAX = 65535


def check_name(value):
    """Return ``value`` if it is a valid identifier.

    Raises
    ------
    ValueError
        If it is empty, longer than 63 characters, contains characters other
        than letters, digits, ``_``, ``.`` and ``-``, or does not start with
        a letter or digit.
    """
    if not NAME_PATTERN.match(value):
        raise ValueError(
            "must be 1 to 63 letters, digits, '_', '.' or '-', "
            "starting with a letter or digit"
        )
    return value


def check_ip_address(value):
    """Return ``value`` if it is an IPv4 or IPv6 address in numeric form.

    Raises
    ------
    ValueError
        If it is a host name or not an address.
    """
    try:
        ipaddress.ip_address(value)
    except ValueError as error:
        raise ValueError("must be an IP address, not a name") from error
    return value


def check_address(value):
    """Return the `Address` of a text such as ``127.0.0.1:7001``.

    Raises
    ------
    ValueError
        If the text is not ``<IP address>:<port>`` or the port is outside 0 to
        65535.
    """
    if isinstance(value, Address):
        return value
    if not isinstance(value, str):
        raise ValueError("must be a text <IP address>:<port>")
    host, separator, port_text = value.rpartition(":")
    # The scope of an IPv6 address may be any text for ``ipaddress``, and
    # ``isdigit`` is true for digits of all scripts.
    is_plain = value.isascii() and value.isprintable()
    if not is_plain or not separator or not port_text.isdigit():
        raise ValueError("must be <IP address>:<port>")
    port = int(port_text)
    if port > PORT_MAX:
        raise ValueError(f"port must be 0 to {PORT_MAX}")
    return Address(check_ip_address(host.strip("[]")), port)


def check_server_address(value):
    """Return the `Address` of a text if a connection to it can be opened.

    Raises
    ------
    ValueError
        If `check_address` refuses the text, or the port is 0.
    """
    address = check_address(value)
    error = find_address_error(address)
    if error:
        raise ValueError(error)
    return address


def find_address_error(address):
    """Return the error in an `Address`, an empty text if it is valid.

    A connection to an address that is not valid raises an error that is no
    OSError.
    """
    try:
        check_ip_address(address.host)
    except ValueError as error:
        return f"host {error}"
    if not address.host.isascii() or not address.host.isprintable():
        return "host must be plain text"
    if not 1 <= address.port <= PORT_MAX:
        return f"port must be 1 to {PORT_MAX}"
    return ""


def check_unique(values, what):
    """Return ``values`` if none occurs twice; ``what`` names their kind.

    Raises
    ------
    ValueError
        If a value occurs twice; the message names it.
    """
    seen = set()
    for value in values:
        if value in seen:
            raise ValueError(f"{what} {value} occurs twice")
        seen.add(value)
    return values
