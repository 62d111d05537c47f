"""What a reader of requests reports to and asks, without a server."""

from collections.abc import Callable

from tallyhall_edge.body_memory import BodyMemory
from tallyhall_edge.incoming import IncomingRequest
from tallyhall_edge.memory_budget import MemoryBudget
from tallyhall_edge.messages import RequestHead
from tallyhall_edge.server_limits import Rejection, ServerLimits

BUDGET = 20_000_000


class RecordingListener:
    """Keeps what is read; accepts as many requests as it is told to."""

    def __init__(self, accepted: int) -> None:
        """Accept this many requests."""
        self.left = accepted
        self.read: list[IncomingRequest] = []
        self.rejections: list[Rejection] = []

    @property
    def accepts_request(self) -> bool:
        return self.left > 0

    def on_request_begun(self, now: float) -> float:
        return now

    def on_head_read(self) -> None:
        """Do nothing."""

    def on_wait_changed(self) -> None:
        """Do nothing."""

    def on_dropped(self) -> None:
        """Do nothing."""

    def on_request_read(self, req: IncomingRequest) -> None:
        self.left -= 1
        self.read.append(req)

    def on_rejected(self, rejection: Rejection) -> None:
        self.rejections.append(rejection)


class ReaderServer:
    """What a reader uses of its server."""

    def __init__(self) -> None:
        """Start with the usual limits and nothing held."""
        self.limits = ServerLimits()
        self.bodies = BodyMemory(MemoryBudget(BUDGET))
        self.workspace_of: Callable[[RequestHead], str] = _no_workspace


def _no_workspace(head: RequestHead) -> str:
    return ''
