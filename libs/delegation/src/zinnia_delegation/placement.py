"""Groups the shards of a fan-out by the data centre whose replicas should answer them."""

from collections.abc import Callable, Collection, Mapping, Sequence

from zinnia_catalog.ids import DataCentreId, ServiceName

# The messages of a delegation cost about as much as sending to the replicas of this many shards.
MIN_GROUP_SHARDS = 6

DataCentreChooser = Callable[[ServiceName], DataCentreId | None]


def group_remote_shards(
    services: Sequence[ServiceName],
    choose_data_centre: DataCentreChooser,
    own: DataCentreId,
) -> dict[DataCentreId, list[ServiceName]]:
    """Return the shards that replicas of other data centres should answer, by data centre.

    Shards of a data centre that has fewer than ``MIN_GROUP_SHARDS`` of them are left out, like
    shards with a replica in the data centre ``own`` and shards without any replica.
    """
    groups: dict[DataCentreId, list[ServiceName]] = {}
    for service in services:
        data_centre = choose_data_centre(service)
        if data_centre is not None and data_centre != own:
            groups.setdefault(data_centre, []).append(service)
    return {
        data_centre: group
        for data_centre, group in groups.items()
        if len(group) >= MIN_GROUP_SHARDS
    }


def find_remaining_shards(
    services: Sequence[ServiceName], groups: Mapping[DataCentreId, Collection[ServiceName]]
) -> list[ServiceName]:
    """Return the shards that are in no group, in their order."""
    grouped = {service for group in groups.values() for service in group}
    return [service for service in services if service not in grouped]
