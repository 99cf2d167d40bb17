"""Status of this VM for the operators' interface."""

import trio

from zinnia_backends.dispatcher import ReplicaDispatcher
from zinnia_membership.membership import Membership
from zinnia_model.ids import VmId
from zinnia_model.subrequests import ReplicaView
from zinniarouterd.gate import Gate
from zinniarouterd.maps import ShardMaps, list_all_records
from zinniarouterd.topology import LiveTopology

ALIVE_TIMEOUT_S = 3.0


class StatusReport:
    """Builds the body of the answer to ``GET /admin/status``."""

    def __init__(
        self,
        vm: VmId,
        data_centre: str,
        incarnation: str,
        gate: Gate,
        maps: ShardMaps,
        topology: LiveTopology,
        dispatcher: ReplicaDispatcher,
    ) -> None:
        self._vm = vm
        self._data_centre = data_centre
        self._incarnation = incarnation
        self._gate = gate
        self._maps = maps
        self._topology = topology
        self._dispatcher = dispatcher

    def build(self, membership: Membership, platform_up: bool) -> dict:
        """Return the status as JSON values."""
        unready_reason = self._gate.find_unready_reason()
        return {
            "vm": self._vm,
            "data_centre": self._data_centre,
            "incarnation": self._incarnation,
            "ready": unready_reason is None,
            "reasons": [unready_reason.value] if unready_reason else [],
            "revision": membership.configuration.revision,
            "epoch": membership.members().epoch,
            "members": self._list_members(membership),
            "acting": membership.promises.own_standby.is_fully_withdrawn(trio.current_time()),
            "platform": "up" if platform_up else "down",
            "requests_in_flight": self._gate.in_flight,
            "replicas": self._list_replicas(),
        }

    def _list_members(self, membership: Membership) -> list[dict]:
        now = trio.current_time()
        rows = []
        for member in membership.members().members:
            vm = VmId(member.vm)
            revision, heartbeat_age_s = membership.configuration.find_last_report(vm, now)
            alive = vm == self._vm or heartbeat_age_s <= ALIVE_TIMEOUT_S
            state = "alive" if alive else "unknown"
            if membership.promises.holds_dead(vm, now):
                state = "dead"
            rows.append(
                {
                    "vm": vm,
                    "seat": member.seat,
                    "data_centre": member.data_centre,
                    "state": state,
                    "revision": revision,
                    "behind": revision < membership.configuration.find_highest(),
                }
            )
        return rows

    def _list_replicas(self) -> list[dict]:
        own = {view.replica: view for view in self._dispatcher.views()}
        rows = []
        for service in sorted(set(self._maps.list_replicas().values())):
            for record in list_all_records(self._maps.get(service)):
                view = own.get(record.id) or self._topology.view(record.id)
                row = {
                    "replica": record.id,
                    "service": service,
                    "data_centre": record.data_centre,
                    "version": record.version,
                    "owner": self._topology.owner(record.id),
                }
                rows.append(row | describe_view(view))
        return rows


def describe_view(view: ReplicaView | None) -> dict:
    """Return the state and load of a replica as JSON values; unknown without a view."""
    if view is None:
        return {"state": "unknown", "limit": 0, "in_flight": 0, "queue": 0}
    state = "draining" if view.draining else "cold" if view.cold else "warm"
    return {
        "state": state,
        "limit": view.limit,
        "in_flight": view.in_flight,
        "queue": view.queue_length,
    }
