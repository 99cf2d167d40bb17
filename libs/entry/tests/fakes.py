from zinnia_catalog.objects import Changes, Listing, ObjectStore
from zinnia_entry.settings import Address, EntrySettings
from zinnia_sending.budgets import RetryBounds
from zinnia_sending.events import EventSink


class RecordingSink(EventSink):
    def __init__(self):
        self.events = []

    def note(self, event, **fields):
        self.events.append((event, fields))

    def list_events(self):
        return [event for event, _ in self.events]


class FakeStore(ObjectStore):
    """A store with prepared replies: exceptions are raised, other replies returned in order."""

    def __init__(self):
        self.lists = []
        self.watches = []
        self.calls = []
        self.waits = []
        self.written = []
        self.write_error = None

    async def list(self, kind, allow_stale=False):
        self.calls.append(("list", kind))
        return self._next_reply(self.lists, Listing((), 1))

    async def watch(self, kind, revision, wait_s):
        self.calls.append(("watch", revision))
        self.waits.append(wait_s)
        return self._next_reply(self.watches, Changes((), revision))

    def _next_reply(self, replies, default):
        reply = replies.pop(0) if replies else default
        if isinstance(reply, Exception):
            raise reply
        return reply

    async def create(self, kind, name, spec):
        self.calls.append(("create", name))
        return True

    async def delete(self, kind, name):
        self.calls.append(("delete", name))

    async def write_release(self, order, state):
        if self.write_error is not None:
            raise self.write_error
        self.written.append((order.service, state))


def make_settings(**fields):
    values = {
        "vm": "vm-1",
        "data_centre": "dc1",
        "callers": Address("127.0.0.1", 0),
        "readiness": Address("127.0.0.1", 0),
        "peers": Address("127.0.0.1", 1),
        "metrics": None,
        "store": Address("127.0.0.1", 2),
        "seeds": (),
        "retry_bounds": RetryBounds(0.2, 50.0, 10.0),
        "grace_period_s": 6.0,
    }
    return EntrySettings(**(values | fields))
