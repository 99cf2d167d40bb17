"""Readiness of this VM for requests, and its rank among the VMs that advance moves."""

from collections.abc import Callable

import trio

from zinnia_membership.member_list import MAX_SEATS
from zinnia_membership.membership import Membership
from zinnia_model.configuration import DataCentreState
from zinnia_model.ids import VmId
from zinnia_model.reasons import Reason


class Readiness:
    """Derives readiness from the membership of this VM and the state of its data centre.

    Parameters
    ----------
    vm : VmId
        This VM.
    data_centre : str
        Data centre in which this VM runs.
    membership : Membership
        Members and configuration as this VM knows them.
    is_store_up : Callable[[], bool]
        Returns whether the platform's store answers.
    """

    def __init__(
        self, vm: VmId, data_centre: str, membership: Membership, is_store_up: Callable[[], bool]
    ) -> None:
        self._vm = vm
        self._data_centre = data_centre
        self._membership = membership
        self._is_store_up = is_store_up

    def find_refusal(self) -> Reason | None:
        """Return the reason why requests must be refused now, or None.

        A VM that has given up ownership still forwards requests while it is in contact with a
        majority of the members.
        """
        now = trio.current_time()
        membership = self._membership
        if membership.configuration.document is None:
            return Reason.NO_CONFIGURATION
        if membership.is_ready(now) or membership.is_degraded(now):
            return None
        forwards = membership.is_leaving and membership.promises.has_contact(now)
        if forwards and membership.configuration.is_current(now):
            return None
        return Reason.NO_MAJORITY

    def find_unready_reason(self) -> Reason | None:
        """Return the reason why the load balancer should not send requests to this VM, or None.

        A VM is not ready while it could still take a seat in the member list. Otherwise a rolling
        replacement that waits for readiness would remove members faster than new VMs join.
        """
        if self.is_data_centre_out():
            return Reason.DATA_CENTRE_OUT
        if self._could_take_seat():
            return Reason.NO_MAJORITY
        return self.find_refusal()

    def _could_take_seat(self) -> bool:
        membership = self._membership
        if membership.is_member or membership.is_leaving or not self._is_store_up():
            return False
        return len(membership.members().members) < MAX_SEATS

    def is_data_centre_out(self) -> bool:
        """Return whether operators have taken the data centre of this VM out of service."""
        document = self._membership.configuration.document
        config = document.data_centres.get(self._data_centre) if document else None
        return config is not None and config.state is DataCentreState.OUT

    def find_rank(self, now: float) -> int | None:
        """Return the position of this VM among the live members, 0 being the first.

        None without a seat or a majority.
        """
        if not self._membership.is_member or not self._membership.has_majority(now):
            return None
        live = [
            vm
            for vm in self._membership.view.vms
            if not self._membership.promises.holds_dead(vm, now)
        ]
        return sorted(live).index(self._vm)
