"""Voting members of the query tier and the platform's list of its VMs."""

from pydantic import BaseModel, ConfigDict


class Member(BaseModel):
    """A VM that holds a voting seat.

    ``incarnation`` differs for every start of the process; ``holder_version`` grows each time the
    seat is transferred to another VM; ``peer_address`` is ``host:port`` by IP number.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    seat: int
    vm: str
    incarnation: str
    peer_address: str
    data_centre: str
    holder_version: int = 0


class MemberList(BaseModel):
    """The voting members, stored as object ``members/current`` in the platform."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    epoch: int = 0
    members: tuple[Member, ...] = ()


class VmState(BaseModel):
    """An entry of the platform's list of VMs, which may be outdated.

    ``state`` is ``live`` or ``leaving``.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)

    id: str
    address: str
    data_centre: str
    state: str
