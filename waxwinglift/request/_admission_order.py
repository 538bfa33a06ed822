"""Interface of the orders in which an admission queue starts tickets."""

import abc
from collections.abc import Sequence

from waxwinglift.process._registry import Registry
from waxwinglift.request._admission_types import Refuse
from waxwinglift.request._admission_types import Ticket
from waxwinglift.request._queue_state import QueueState
from waxwinglift.request._rank_account import RankAccount

# Classes of orders by `AdmissionSettings.order`.
ADMISSION_ORDERS = Registry()
admission_order = ADMISSION_ORDERS.register


class AdmissionOrder(abc.ABC):
    """Order of the tickets within a rank, and which of them are refused.

    Between ranks the admission queue decides itself.

    Parameters
    ----------
    state : QueueState
        State of the queue; an order changes only ``service_ms``.
    rng : random.Random
    """

    def __init__(self, state: QueueState, rng):
        self.state = state
        self.rng = rng

    @abc.abstractmethod
    def make_rank(self, row, urgency_index) -> RankAccount:
        """Return the empty queue of a rank."""

    @abc.abstractmethod
    def find_refusal(
        self, ticket: Ticket, rank: RankAccount, now_ms: float
    ) -> Refuse | None:
        """Return the refusal of a new ticket, or None if it is accepted."""

    @abc.abstractmethod
    def find_early_refusal(
        self, ticket: Ticket, rank: RankAccount, now_ms: float
    ) -> Refuse | None:
        """Return the refusal of a request before its ticket is offered."""

    @abc.abstractmethod
    def push(self, ticket: Ticket, rank: RankAccount, now_ms: float):
        """Add an accepted ticket to its rank."""

    @abc.abstractmethod
    def pop(self, rank: RankAccount, now_ms: float) -> Ticket:
        """Remove and return the ticket of the rank that starts next."""

    @abc.abstractmethod
    def latest_start_ms(self, ticket: Ticket) -> float:
        """Return when it is too late to start the ticket."""

    @abc.abstractmethod
    def refuse_late(
        self, ticket: Ticket, rank: RankAccount, now_ms: float
    ) -> Refuse:
        """Return the refusal of a ticket that can no longer start in time."""

    @abc.abstractmethod
    def find_late(self, now_ms: float) -> Sequence[Ticket]:
        """Return waiting tickets that will not start in time."""

    @abc.abstractmethod
    def charged_ms(self, ticket: Ticket) -> float:
        """Return the service time expected of a ticket that starts."""

    @abc.abstractmethod
    def record(
        self,
        ticket: Ticket,
        rank: RankAccount,
        now_ms: float,
        service_ms: float,
        work_ms: float | None,
    ):
        """Record a ticket that has ended; see `AdmissionQueue.finish`."""

    @abc.abstractmethod
    def expected_wait_ms(self, ticket: Ticket, now_ms: float) -> float:
        """Return the expected time until a new ticket would start."""

    @abc.abstractmethod
    def new_wait_ms(self) -> float:
        """Return the expected wait of a new read of the least urgent rank."""
