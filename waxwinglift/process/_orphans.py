"""Names of endpoint connections, by which a new owner finds old ones.

A caller that sets ``application_name`` hides its connection: that one is left
to the endpoint's own time-outs.
"""

MONITOR_NAME = "waxwinglift monitor"
_SERVING_PREFIX = "waxwinglift owner "


def serving_name(epoch):
    """Return the application name of an owner's serving connections."""
    return f"{_SERVING_PREFIX}{epoch}"


def end_orphans_sql(epoch):
    """Return the statement that ends serving connections of other epochs.

    Monitoring connections have another name and stay.
    """
    return (
        "SELECT pg_terminate_backend(pid) FROM pg_stat_activity "
        f"WHERE application_name LIKE '{_SERVING_PREFIX}%' "
        f"AND application_name <> '{serving_name(epoch)}'"
    )
