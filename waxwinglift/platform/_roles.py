"""Conversion of the platform's settings to those of the daemons."""

import secrets

from waxwinglift.platform._protocols import PROTOCOL
from waxwinglift.platform._settings import PlatformSettings
from waxwinglift.process._connection_budget import LOST_CONNECTION_MS
from waxwinglift.process._data_path_settings import EntrySettings
from waxwinglift.process._data_path_settings import OwnerSettings
from waxwinglift.process._policy_settings import AdmissionSettings
from waxwinglift.process._policy_settings import EndpointPoolSettings
from waxwinglift.process._policy_settings import QuotaSettings
from waxwinglift.process._policy_settings import RoutingSettings
from waxwinglift.process._settings import ControlSettings
from waxwinglift.process._settings import ControlTimingSettings
from waxwinglift.process._settings import ProxySettings
from waxwinglift.process._settings import ProxyTimingSettings
from waxwinglift.version._control_settings import AnnouncementSettings
from waxwinglift.version._control_settings import ControlCoreSettings
from waxwinglift.version._control_settings import MembershipSettings

# Missing announcements after which an endpoint counts as lost.
_MISSED_ANNOUNCEMENTS_COUNT = 4
# Part of a statement's time that it may wait for a slot.
_WAIT_FRACTION = 0.5
# Proxies have a third of a core: between an answer and the next statement an
# owner takes several milliseconds.
_SPARE_IN_FLIGHT_RATIO = 2 / 3
# A connection that opens occupies a slot of the server, which has two or more.
_OPENING_LIMIT_COUNT = 2
# The platform checks readiness each second and needs two failed checks.
_BALANCER_DETECTION_MS = 2200.0
# Parts of the grace period ``graceS``, after which the platform ends the
# process.  Open transactions may continue for the first half.  The last sixth
# is left for the end of a process that may be short of processor time.
_BLOCK_FRACTION = 1 / 2
_ANSWER_FRACTION = 3 / 4
_DRAIN_FRACTION = 5 / 6
# Part of the time limit of a revocation for which a proxy may use its state
# of the fleet.  The rest covers the check-quorum time of control, by which
# that state may be older than it seems, and the drift of clocks.
_VIEW_AGE_FRACTION = 3 / 4
# Part of the platform's rules under which traffic between regions is charged
# and capacity is scarce.
_POOL_CONTRACT = "pool"
# The last renewal comes after the drain and the stop of the sessions.
_LAST_RENEWAL_FRACTION = 1 / 15
_CONTROL_TIMING = ControlTimingSettings(
    lease_ms=2000,
    heartbeat_ms=120,
    check_quorum_ms=300,
    election_timeout_min_ms=350,
    election_timeout_max_ms=700,
)
_PROXY_TIMING = ProxyTimingSettings(renew_interval_ms=400, rpc_timeout_ms=800)


def control_settings(platform: PlatformSettings) -> ControlSettings:
    """Return the settings of a control daemon."""
    ttl_ms = _MISSED_ANNOUNCEMENTS_COUNT * platform.announce_interval_ms
    promotion = platform.promotion
    return ControlSettings(
        member=platform.machine,
        location=platform.location,
        listen=platform.control_listen,
        data_folder=platform.data_folder,
        discovery=platform.discovery,
        membership=MembershipSettings(
            voters_count=2 * platform.tolerance.disks_count + 1
        ),
        policy=ControlCoreSettings(
            announcements=AnnouncementSettings(
                ttl_ms=int(ttl_ms), max_backoff_ms=5000
            )
        ),
        endpoint_protocol=PROTOCOL,
        promotion_address=None if promotion is None else promotion.address,
        timing=_CONTROL_TIMING,
        observability=platform.observability,
    )


def proxy_settings(platform: PlatformSettings) -> ProxySettings:
    """Return the settings of a proxy."""
    callers = platform.listen.callers
    grace_ms = platform.bounds.grace_s * 1000
    drain_ms = _BLOCK_FRACTION * grace_ms
    answer_ms = _ANSWER_FRACTION * grace_ms - drain_ms
    return ProxySettings(
        daemon=platform.machine,
        location=platform.location,
        peer_listen=platform.peer_listen,
        control=platform.control_seeds,
        ready_listen=platform.listen.readiness,
        entry=EntrySettings(
            protocol=PROTOCOL,
            host=callers.host,
            port=callers.port,
            # Callers of the platform get no session tokens, so the proxies
            # need no common secret.
            token_secret=secrets.token_hex(16),
            drain_timeout_ms=drain_ms,
            drain_answer_timeout_ms=answer_ms,
            drain_linger_ms=min(_BALANCER_DETECTION_MS, drain_ms),
            view_age_limit_ms=_view_age_limit_ms(platform.bounds),
            routing=_routing_settings(platform),
        ),
        owner=OwnerSettings(
            protocol=PROTOCOL,
            drain_timeout_ms=drain_ms,
            drain_answer_timeout_ms=answer_ms,
            admission=_admission_settings(platform),
            pool=EndpointPoolSettings(
                keeps_surplus=True,
                opening_limit_count=_OPENING_LIMIT_COUNT,
                lost_connection_ms=_lost_connection_ms(platform),
            ),
            connection_division=(
                "shares" if _has_pool_contract(platform) else "fixed"
            ),
            quota=_quota_settings(platform.bounds),
        ),
        relay_order="nearest" if _has_pool_contract(platform) else "hash",
        compresses_between_regions=_has_pool_contract(platform),
        timing=_proxy_timing(grace_ms),
        observability=platform.observability,
    )


def _has_pool_contract(platform):
    return _POOL_CONTRACT in platform.contracts


def _lost_connection_ms(platform):
    return LOST_CONNECTION_MS if _has_pool_contract(platform) else 0.0


def _admission_settings(platform):
    if not _has_pool_contract(platform):
        return AdmissionSettings(wait_fraction=_WAIT_FRACTION)
    return AdmissionSettings(
        order="deadline",
        wait_fraction=_WAIT_FRACTION,
        spare_in_flight_ratio=_SPARE_IN_FLIGHT_RATIO,
    )


def _routing_settings(platform):
    policy = "load" if _has_pool_contract(platform) else "latency"
    return RoutingSettings(server_policy=policy)


def _quota_settings(bounds):
    return QuotaSettings(
        window_ms=1000 * bounds.quota_window_s,
        overage_ratio=bounds.quota_overage_ratio,
        slack_count=bounds.quota_slack_count,
        takeover_ms=_VIEW_AGE_FRACTION * bounds.revocation_ms,
    )


def _view_age_limit_ms(bounds):
    if not bounds.is_revocation_strict:
        return 0.0
    return _VIEW_AGE_FRACTION * bounds.revocation_ms


def _proxy_timing(grace_ms):
    return _PROXY_TIMING.model_copy(
        update={
            "drain_timeout_ms": int(_DRAIN_FRACTION * grace_ms),
            "last_renewal_timeout_ms": int(_LAST_RENEWAL_FRACTION * grace_ms),
        }
    )
