"""The replica state that an owner publishes and passes to the next owner."""

from pydantic import BaseModel, ConfigDict


class ReplicaFact(BaseModel):
    """Value of a ``REPLICA_STATE`` fact; its subject is the replica id.

    ``limit`` is the number of sub-requests that the owner sends at a time. Unknown keys are
    ignored, so that VMs running different releases can share facts.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)

    replica: str
    cold: bool
    draining: bool = False
    limit: int
    queue_length: int = 0
    in_flight: int = 0
    start_id: str = ""
    version: str = ""
