"""Many VMs that move a service to a new version, without a network."""

from random import Random

import trio
import trio.testing
from fakes import FakeStore

from zinnia_catalog.objects import WriteConflictError
from zinnia_catalog.releases import ReleaseOrder, ReleaseState
from zinnia_entry.node import FleetFindings
from zinnia_entry.releases import ReleaseDriver
from zinnia_relay.exchange import FindingsExchange
from zinnia_sending.counters import NullCounters
from zinnia_sending.crashguard import CrashGuard
from zinnia_sending.events import NullSink
from zinnia_sending.notices import NoticeRecorder
from zinnia_sending.versions import VersionShares

SERVICE, OLD, NEW = "s", "v1", "v2"
TICK_S = 0.05
POLL_INTERVAL_S = 0.5
WATCHERS_INTERVAL_S = 0.7
# A write of the store reaches all VMs after this time.
CHANGE_DELAY_S = 0.3
WATCHERS = 2


class ReleaseStore(FakeStore):
    """Keeps the order of one release and its state; a write needs the current revision."""

    def __init__(self, duration_s):
        super().__init__()
        self.order = ReleaseOrder(SERVICE, NEW, duration_s, ReleaseState.ORDERED, 1)
        self.changed_at = 0.0

    async def write_release(self, order, state):
        if order.revision != self.order.revision:
            raise WriteConflictError
        revision = self.order.revision + 1
        self.order = ReleaseOrder(SERVICE, NEW, self.order.duration_s, state, revision)
        self.changed_at = trio.current_time()


class Vm:
    """One process of a VM: its shares of the versions, its driver and its findings."""

    def __init__(self, process, store, rank, random):
        self.versions = VersionShares(NullSink(), process, random=random)
        self.notices = NoticeRecorder({}.get, NullSink(), NullCounters(), random)
        self.crashes = CrashGuard(NullSink(), NullCounters(), lambda service: set())
        self.order = None
        self.driver = ReleaseDriver(
            self.versions, store, lambda: rank, NullSink(), trio.current_time
        )
        self.findings = FindingsExchange(FleetFindings(self))

    def list_observations(self, now):
        return []

    def apply_observations(self, observations, now):
        pass

    def follow(self, order):
        if order is not self.order:
            self.order = order
            self.versions.change_order(SERVICE, order, trio.current_time())

    def exchange(self, peer):
        """Send the findings of this VM to a peer, and apply those in its reply."""
        peer.findings.apply(self.findings.make_request())
        self.findings.apply(peer.findings.make_reply())


class ReleaseFleet:
    """VMs that serve requests in random order while a release is due in ``duration_s`` seconds.

    ``bad_fraction`` gives the fraction of bad answers of the new version after a time in seconds,
    and ``others_bad_fraction`` that of the old one.
    """

    def __init__(
        self, vms, requests_per_s, duration_s, bad_fraction, others_bad_fraction=0.0, seed=1
    ):
        self.random = Random(f"{vms}/{seed}")
        self.requests_per_s = requests_per_s
        self.duration_s = duration_s
        self.bad_fraction = bad_fraction
        self.others_bad_fraction = others_bad_fraction
        self.size = vms
        self.restarts_at = []
        self.sent = {OLD: 0, NEW: 0}
        self.new_sends_before_end = 0

    def run(self):
        """Run until the due time; return the state of the release."""
        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(self._run, clock=clock)

    @property
    def new_sends(self):
        return self.sent[NEW]

    @property
    def allowed_new_sends(self):
        """Requests that a bad version may get: a tenth of all, and 50."""
        return 0.1 * sum(self.sent.values()) + 50

    async def _run(self):
        self.started_at = trio.current_time()
        self.store = ReleaseStore(self.duration_s)
        self.vms = [self.start_vm(number) for number in range(self.size)]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._exchange)
            nursery.start_soon(self._drive)
            await self._serve()
            nursery.cancel_scope.cancel()
        return self.store.order.state

    def start_vm(self, number):
        process = f"vm-{number}/{self.random.random()}"
        return Vm(process, self.store, number, Random(self.random.random()))

    async def _serve(self):
        missing = 0.0
        restarts = list(self.restarts_at)
        while (now := trio.current_time() - self.started_at) < self.duration_s:
            if restarts and now >= restarts[0]:
                restarts.pop(0)
                self._restart_half()
            if trio.current_time() >= self.store.changed_at + CHANGE_DELAY_S:
                for vm in self.vms:
                    vm.follow(self.store.order)
            missing += self.requests_per_s * TICK_S
            while missing >= 1.0:
                missing -= 1.0
                self._request(self.random.choice(self.vms), now)
            await trio.sleep(TICK_S)

    def _restart_half(self):
        for number in self.random.sample(range(self.size), self.size // 2):
            self.vms[number] = self.start_vm(number)
            self.vms[number].follow(self.store.order)

    def _request(self, vm, now):
        version = OLD
        if vm.versions.find_excluded_version(SERVICE) is None:
            is_done = self.store.order.state is ReleaseState.DONE
            version = NEW if is_done or self.random.random() < 0.7 else OLD
        self.sent[version] += 1
        if self.store.order.is_open:
            self.new_sends_before_end = self.sent[NEW]
        vm.versions.count_send(SERVICE, version)
        bad = self.bad_fraction(now) if version == NEW else self.others_bad_fraction
        failure = "status 500" if self.random.random() < bad else None
        vm.versions.record(SERVICE, version, failure, 1.0, trio.current_time())

    async def _exchange(self):
        """Let followers poll a watcher, and watchers poll each other."""
        polls = 0
        while True:
            await trio.sleep(POLL_INTERVAL_S)
            polls += 1
            watchers = self.vms[:WATCHERS]
            for number, vm in enumerate(self.vms[WATCHERS:]):
                vm.exchange(watchers[number % WATCHERS])
            if polls * POLL_INTERVAL_S % WATCHERS_INTERVAL_S < POLL_INTERVAL_S:
                watchers[0].exchange(watchers[1])
                watchers[1].exchange(watchers[0])

    async def _drive(self):
        async with trio.open_nursery() as nursery:
            for number in range(self.size):
                nursery.start_soon(self._drive_vm, number)

    async def _drive_vm(self, number):
        while True:
            with trio.move_on_after(POLL_INTERVAL_S + 0.01):
                await self.vms[number].driver.run()
