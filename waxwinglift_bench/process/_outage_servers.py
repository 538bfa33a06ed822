"""Servers of the groups as the control leader meets them."""

import dataclasses

from waxwinglift.process import Registry
from waxwinglift.version import _control_core_messages as messages
from waxwinglift.version import _failover_messages as failover
from waxwinglift.version import EndpointRole
from waxwinglift.version import Lsn
from waxwinglift.version import Timeline
from waxwinglift.version._action_queue import ActionQueue
from waxwinglift.version._announcements import Announcement
from waxwinglift.version._types import ServerPosition

# What a server that answers makes of an action: takes ``(servers, action)``.
OUTCOMES = Registry()
outcome_of = OUTCOMES.register


class Servers:
    """Announcements and SQL outcomes of all servers."""

    def __init__(self, outage):
        self._outage = outage
        self._settings = outage.settings
        self._announcements = {
            name: _announce(endpoint, outage.core.fleet)
            for name, endpoint in outage.core.fleet.endpoints.items()
        }
        self._queue = ActionQueue(outage.settings.sessions_limit_count)
        self.sessions_most_count = 0
        self.sessions_total_count = 0

    def start(self):
        """Spread the announcements over their interval."""
        interval_ms = self._settings.announce_interval_ms
        count = len(self._announcements)
        for number, name in enumerate(self._announcements):
            first_ms = interval_ms * number / count
            self._outage.at(first_ms, self._announce, name, number)

    def _announce(self, name, number):
        announcement = self._announcements[name]
        if self._outage.is_lost(announcement.location):
            return
        event = messages.AnnouncementReceived(announcement)
        self._outage.proxies.follower_of(number).pass_on(name, event, None)
        next_ms = self._outage.now_ms + self._settings.announce_interval_ms
        self._outage.at(next_ms, self._announce, name, number)

    def run_action(self, action):
        """Open a session for an action, or queue it at the limit."""
        self._queue.offer(action)
        self._open_sessions()

    def _open_sessions(self):
        for action in self._queue.start():
            self._open_session(action)

    def _open_session(self, action):
        outage = self._outage
        self.sessions_total_count += 1
        self.sessions_most_count = max(
            self.sessions_most_count, self._queue.running_count
        )
        outage.charge(self._settings.session_cpu_ms, "SQL sessions")
        location = self._announcements[action.endpoint].location
        delay_ms = self._settings.sql_ms
        if outage.is_lost(location):
            delay_ms = action.time_limit_ms
        end_ms = outage.busy_until_ms + delay_ms
        outage.at(end_ms, self._end_session, action, location)

    def _end_session(self, action, location):
        self._queue.finish(action)
        if self._outage.is_lost(location):
            outcome = failover.ActionFailed(action, "time limit exceeded")
        else:
            outcome = OUTCOMES[type(action)](self, action)
        self._outage.step_leader([outcome], 0.0)
        self._open_sessions()

    def change(self, endpoint, **fields):
        """Change what a server announces from now on."""
        self._announcements[endpoint] = dataclasses.replace(
            self._announcements[endpoint], **fields
        )

    def primary(self, group):
        """Return the primary that control has chosen."""
        return self._outage.core.fleet.groups[group].primary

    def position(self, endpoint):
        """Return the position that a server reports."""
        return ServerPosition(self.timeline(endpoint), Lsn(1000))

    def timeline(self, endpoint):
        """Return the timeline that a server announces."""
        return Timeline(self._announcements[endpoint].term)


def _announce(endpoint, fleet):
    return Announcement(
        endpoint=endpoint.endpoint,
        group=endpoint.group,
        address=endpoint.address,
        location=endpoint.location,
        slots_count=endpoint.slots_count,
        connection_limit_count=endpoint.connection_limit_count,
        group_size_count=fleet.groups[endpoint.group].size_count,
        term=endpoint.term,
        in_recovery=endpoint.role is EndpointRole.REPLICA,
    )


@outcome_of(failover.FenceServer)
def _fence(servers, action):
    return failover.ServerFenced(action.group, action.term, action.endpoint)


@outcome_of(failover.ReadPosition)
def _read(servers, action):
    position = servers.position(action.endpoint)
    return failover.PositionRead(
        action.group, action.term, action.endpoint, position
    )


@outcome_of(failover.PromoteServer)
def _promote(servers, action):
    timeline = Timeline(servers.timeline(action.endpoint) + 1)
    servers.change(action.endpoint, term=timeline, in_recovery=False)
    return failover.ServerPromoted(
        action.group, action.term, action.endpoint, timeline
    )


@outcome_of(failover.RepointServer)
def _repoint(servers, action):
    timeline = servers.timeline(servers.primary(action.group))
    servers.change(action.endpoint, term=timeline)
    return failover.ServerRepointed(action.group, action.term, action.endpoint)
