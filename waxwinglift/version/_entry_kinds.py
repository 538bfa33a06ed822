"""Kinds of entries of the control log."""

import enum


class EntryKind(enum.Enum):
    """Discriminator of the stored form of an entry."""

    NO_OPERATION = "no_operation"
    POOL_EDITED = "pool_edited"
    DESIRED_STATE_REPLACED = "desired_state_replaced"
    ENDPOINT_JOINED = "endpoint_joined"
    ENDPOINT_LEAVING = "endpoint_leaving"
    ENDPOINT_LOST = "endpoint_lost"
    ENDPOINT_REMOVED = "endpoint_removed"
    GROUP_FORMED = "group_formed"
    TERM_RAISED = "term_raised"
    PRIMARY_CHOSEN = "primary_chosen"
    PRIMARY_ACTIVE = "primary_active"
    DAEMON_JOINED = "daemon_joined"
    DAEMON_DRAINING = "daemon_draining"
    DAEMON_LEFT = "daemon_left"
    OWNERS_ASSIGNED = "owners_assigned"
    MEMBER_ADDED = "member_added"
    MEMBER_PROMOTED = "member_promoted"
    MEMBER_REMOVED = "member_removed"
