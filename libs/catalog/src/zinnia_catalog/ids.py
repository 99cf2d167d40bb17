"""Types of the identifiers in the catalog."""

from typing import NewType

ServiceName = NewType("ServiceName", str)
RouteName = NewType("RouteName", str)
ReplicaId = NewType("ReplicaId", str)
DataCentreId = NewType("DataCentreId", str)
VersionId = NewType("VersionId", str)
VmName = NewType("VmName", str)
# Hash that is equal for requests with the same method, path, caller and body.
Fingerprint = NewType("Fingerprint", str)
# One process of a VM; a restarted process has another one.
ProcessId = NewType("ProcessId", str)
