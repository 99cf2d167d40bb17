"""Types of the identifiers in the catalog."""

from typing import NewType

ServiceName = NewType("ServiceName", str)
RouteName = NewType("RouteName", str)
ReplicaId = NewType("ReplicaId", str)
DataCentreId = NewType("DataCentreId", str)
VersionId = NewType("VersionId", str)
VmName = NewType("VmName", str)
