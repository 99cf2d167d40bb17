"""Identifier types of the query tier."""

from typing import NewType

VmId = NewType("VmId", str)
DataCentreId = NewType("DataCentreId", str)
ServiceId = NewType("ServiceId", str)
RouteId = NewType("RouteId", str)
ShardId = NewType("ShardId", str)
ReplicaId = NewType("ReplicaId", str)
SnapshotId = NewType("SnapshotId", str)
VersionId = NewType("VersionId", str)
MoveId = NewType("MoveId", str)
RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)
StartId = NewType("StartId", str)
Fingerprint = NewType("Fingerprint", str)
IdempotencyKey = NewType("IdempotencyKey", str)
Revision = NewType("Revision", int)
