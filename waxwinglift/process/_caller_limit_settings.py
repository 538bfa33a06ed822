"""Settings of the limits on what a process holds for its callers."""

import pydantic

from waxwinglift.process._policy_settings import PolicySettings


class CallerLimitSettings(PolicySettings):
    """Limits on the callers of one proxy.

    Parameters
    ----------
    budget_bytes : int
        Bytes held for all callers: received messages that have not been
        answered, incomplete messages and unsent answers.  Reading pauses for
        callers with complete messages above half of it; above all of it, the
        connections that hold most are closed.
    caller_limit_bytes : int
        Bytes held for one caller above which reading from it pauses.  An
        incomplete message that is within the limit of a message may be
        larger.
    message_timeout_ms : float
        Time limit for the rest of a message that has begun to arrive.
    read_timeout_ms : float
        Time without progress after which a caller that does not read its
        answers is disconnected.
    startup_timeout_ms : float
        Time limit for the start of a session.
    connection_limit_count : int
        Largest number of connections of callers; 0 derives it from the
        process's limit of descriptors.
    descriptor_reserve_count : int
        Descriptors that are kept for endpoints, other proxies, control and
        files; at most half of all are kept.
    """

    budget_bytes: int = pydantic.Field(20 * 2**20, ge=2**16)
    caller_limit_bytes: int = pydantic.Field(2 * 2**20, ge=2**16)
    message_timeout_ms: float = pydantic.Field(120_000.0, gt=0)
    read_timeout_ms: float = pydantic.Field(30_000.0, gt=0)
    startup_timeout_ms: float = pydantic.Field(60_000.0, gt=0)
    connection_limit_count: int = pydantic.Field(0, ge=0)
    descriptor_reserve_count: int = pydantic.Field(600, ge=1)

    def connection_limit(self, descriptor_limit_count: int) -> int:
        """Return the largest number of connections of callers.

        Parameters
        ----------
        descriptor_limit_count : int
            Descriptors that the process may open.
        """
        half_count = descriptor_limit_count // 2
        reserve_count = min(self.descriptor_reserve_count, half_count)
        available_count = descriptor_limit_count - reserve_count
        if not self.connection_limit_count:
            return available_count
        return min(self.connection_limit_count, available_count)


class HttpLimitSettings(PolicySettings):
    """Limits on the HTTP clients of a control daemon.

    Parameters
    ----------
    budget_bytes : int
        Bytes held for all clients: incomplete bodies and unsent responses.
        Above it, the connections that hold most are closed.
    request_timeout_ms : float
        Time limit for the head of a request and, separately, for its body.
    read_timeout_ms : float
        Time without progress after which a client that does not read its
        response is disconnected.
    announcement_limit_bytes : int
        Largest body of an announcement or a deregistration.
    connection_limit_count : int
        Largest number of connections; 0 derives it from the process's limit
        of descriptors.
    descriptor_reserve_count : int
        Descriptors that are kept for proxies, other members and files; at
        most half of all are kept.
    """

    budget_bytes: int = pydantic.Field(16 * 2**20, ge=2**20)
    request_timeout_ms: float = pydantic.Field(30_000.0, gt=0)
    read_timeout_ms: float = pydantic.Field(30_000.0, gt=0)
    announcement_limit_bytes: int = pydantic.Field(2**18, ge=1024)
    connection_limit_count: int = pydantic.Field(0, ge=0)
    descriptor_reserve_count: int = pydantic.Field(600, ge=1)

    def caller_limits(self) -> CallerLimitSettings:
        """Return the same limits for a `CallerGuard`."""
        return CallerLimitSettings(
            budget_bytes=self.budget_bytes,
            message_timeout_ms=self.request_timeout_ms,
            read_timeout_ms=self.read_timeout_ms,
            # Head, body and answer of the first request.
            startup_timeout_ms=3 * self.request_timeout_ms,
            connection_limit_count=self.connection_limit_count,
            descriptor_reserve_count=self.descriptor_reserve_count,
        )
