"""What callers and servers saw: the records that the rules are checked on. All times are monotonic seconds."""

from dataclasses import dataclass, field


@dataclass
class Call:
    """One request of a caller."""

    id: str
    gateway: int               # which gateway it was sent to
    life: int                  # which life of that gateway
    path: str
    repeatable: bool
    sent_at: float             # its last byte was written
    timeout: float             # of its route
    answered_at: float | None = None
    status: int = 0            # 0: no answer
    signature: str = ""
    body: bytes = b""
    closed_at: float | None = None  # the connection ended without a whole answer
    left_at: float | None = None    # the caller left before an answer
    reading: float = 0.0            # seconds that the caller takes to read the answer


@dataclass
class Arrival:
    """A request at a server."""

    id: str
    server: str
    service: str
    at: float
    executed: bool = False     # work began
    ended_at: float | None = None
    cut_at: float | None = None  # its connection ended before the answer
    status: int = 0
    signature: str = ""
    work: float = 0.0          # seconds that the work takes
    content: str = ""          # of a request that ends servers: what it is known by
    ended_server: bool = False
    leaving: bool = False      # the answer said that the server leaves
    back_off: float = 0.0      # seconds for which the answer asked for no requests


@dataclass
class Leaving:
    """A server that said that it drains."""

    server: str
    at: float                  # the store took it


@dataclass
class Limited:
    """A server that names a limit, as long as it does."""

    server: str
    per_second: float
    start: float               # its first answer with it
    end: float = float("inf")


@dataclass
class Version:
    """A configuration: the service that the moving route goes to."""

    number: int
    service: str
    at: float                  # the store took it


@dataclass
class Span:
    """A disturbance; `gateway` is None when it is the store's."""

    start: float
    end: float
    gateway: int | None = None
    server: str | None = None


@dataclass
class PathCut:
    """A gateway that lost its path to all servers; callers, the store and other gateways still reach it."""

    gateway: int
    start: float
    end: float = float("inf")


@dataclass
class Stop:
    """A planned stop of a gateway."""

    gateway: int
    life: int
    at: float
    ended_at: float = float("inf")


@dataclass
class History:
    """All of one run."""

    calls: list[Call] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    leavings: list[Leaving] = field(default_factory=list)
    limited: list[Limited] = field(default_factory=list)
    versions: list[Version] = field(default_factory=list)
    spans: list[Span] = field(default_factory=list)
    stops: list[Stop] = field(default_factory=list)
    path_cuts: list[PathCut] = field(default_factory=list)

    def frozen(self, start: float, end: float, gateway: int) -> bool:
        """Whether that gateway was disturbed at any time from start to end."""
        return any(span.gateway == gateway and span.start <= end and span.end >= start for span in self.spans)

    def disturbed(self, start: float, end: float, gateway: int | None, server: str | None = None) -> bool:
        """Whether the store, that gateway or that server was disturbed at any time from start to end."""
        for span in self.spans:
            if span.start > end or span.end < start:
                continue
            if span.gateway is None and span.server is None:
                return True
            if span.gateway is not None and span.gateway == gateway:
                return True
            if span.server is not None and span.server == server:
                return True
        return False
