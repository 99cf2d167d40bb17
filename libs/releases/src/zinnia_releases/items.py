"""Planning of the items of a release note, one function for each kind of item."""

from zinnia_model.configuration import (
    DataCentreState,
    MoveKind,
    MoveRecord,
    ServiceConfig,
    VersionConfig,
)
from zinnia_releases.changes import (
    MoveChange,
    is_share_sum_one,
    list_active_data_centres,
    make_data_centre_key,
    make_service_key,
    read_shares,
)
from zinnia_releases.note import (
    ChangedDataCentreItem,
    DataCentreItem,
    Note,
    NoteItem,
    Section,
    ServiceItem,
    ShareItem,
    VersionItem,
    WithdrawnServiceItem,
    WithdrawnVersionItem,
)
from zinnia_releases.planner import NotePlanner


def list_subjects(note: Note) -> list[str]:
    """Return the keys in ``ConfigDocument.touched`` of the services and data centres of a note."""
    subjects = [
        (
            make_data_centre_key(entry.item.data_centre)
            if isinstance(entry.item, DataCentreItem)
            else make_service_key(entry.item.service)
        )
        for entry in note.items
    ]
    return list(dict.fromkeys(subjects))


def plan_items(planner: NotePlanner, note: Note) -> None:
    """Plan every item; the order of the sections puts withdrawals last.

    Another item may move the traffic away from a version that the note withdraws.
    """
    for entry in note.items:
        _plan_item(planner, entry)
    _complete_share_moves(planner)
    _check_active_data_centres(planner)


def _plan_item(planner: NotePlanner, entry: NoteItem) -> None:
    item = entry.item
    if not planner.check_times(entry):
        return
    if isinstance(item, VersionItem):
        _plan_version(planner, entry, item)
    elif isinstance(item, WithdrawnVersionItem):
        _plan_version_withdrawal(planner, entry, item)
    elif isinstance(item, DataCentreItem):
        _plan_data_centre(planner, entry, item)
    elif isinstance(item, ShareItem):
        _plan_share(planner, entry, item)
    elif isinstance(item, ServiceItem):
        _plan_service(planner, entry, item)
    elif isinstance(item, WithdrawnServiceItem):
        _plan_service_withdrawal(planner, entry, item)


def _plan_version(planner: NotePlanner, entry: NoteItem, item: VersionItem) -> None:
    service = planner.find_service(entry, item.service)
    if service is None or not planner.reserve_subject(
        entry, make_service_key(item.service), "service"
    ):
        return
    known = item.version in service.versions
    if entry.section is Section.ADDED and known:
        planner.refuse(entry, "version", f"{item.version} exists; list it under changed")
        return
    if entry.section is Section.CHANGED and not known:
        planner.refuse(entry, "version", f"{item.version} is unknown; list it under added")
        return
    old = _find_replaced_version(planner, entry, item, service)
    if old is not None:
        _plan_ramp(planner, entry, item.service, old, item.version, item.share)


def _find_replaced_version(
    planner: NotePlanner, entry: NoteItem, item: VersionItem, service: ServiceConfig
) -> str | None:
    candidates = [v for v, s in read_shares(service).items() if s > 0 and v != item.version]
    if item.replaces is None:
        if len(candidates) == 1:
            return candidates[0]
        choices = ", ".join(candidates) or "none carries traffic"
        planner.refuse(entry, "replaces", f"not clear; name the version it replaces: {choices}")
        return None
    if item.replaces in candidates:
        return item.replaces
    planner.refuse(
        entry,
        "replaces",
        f"{item.replaces} carries no traffic of {item.service}; "
        f"name one of: {', '.join(candidates) or 'none'}",
    )
    return None


def _plan_ramp(
    planner: NotePlanner, entry: NoteItem, name: str, old: str, new: str, share: float
) -> MoveRecord:
    service = planner.services[name]
    if new not in service.versions:
        versions = service.versions | {new: VersionConfig(share=0.0)}
        planner.services[name] = service.model_copy(update={"versions": versions})
    planner.add_description(entry, f"{name}: move {share:.0%} of the traffic of {old} to {new}")
    return planner.add_move(
        entry,
        MoveKind.VERSION,
        name,
        MoveChange(action="ramp"),
        from_version=old,
        to_version=new,
        target_share=share,
    )


def _plan_version_withdrawal(
    planner: NotePlanner, entry: NoteItem, item: WithdrawnVersionItem
) -> None:
    service = planner.find_service(entry, item.service)
    if service is None:
        return
    if item.version not in service.versions:
        planner.refuse(entry, "version", f"{item.version} is unknown; remove the item")
        return
    if not planner.reserve_subject(entry, f"withdrawn/{item.service}/{item.version}", "version"):
        return
    if any((m.subject, m.to_version) == (item.service, item.version) for m in planner.moves):
        planner.refuse(
            entry,
            "version",
            f"{item.version} gets traffic by this note; keep one of both",
        )
        return
    predecessor = _find_replacing_move(planner, item)
    if predecessor is None and read_shares(service)[item.version] > 0:
        predecessor = _plan_replacement(planner, entry, item, service)
        if predecessor is None:
            return
    if predecessor is not None and entry.due_ms < predecessor.due_ms:
        planner.refuse(
            entry, "by", f"before the hour of move {predecessor.id}; choose a later hour"
        )
    planner.add_description(entry, f"{item.service}: withdraw version {item.version}")
    after = predecessor.id if predecessor is not None else ""
    change = MoveChange(action="withdraw_version", after=after)
    planner.add_move(entry, MoveKind.VERSION, item.service, change, from_version=item.version)


def _find_replacing_move(planner: NotePlanner, item: WithdrawnVersionItem) -> MoveRecord | None:
    """Return the move of this note that takes all traffic from the withdrawn version."""
    for move in planner.moves:
        if (move.subject, move.from_version) != (item.service, item.version):
            continue
        if move.kind is MoveKind.VERSION and move.target_share == 1.0 and move.to_version:
            return move
    return None


def _plan_replacement(
    planner: NotePlanner, entry: NoteItem, item: WithdrawnVersionItem, service: ServiceConfig
) -> MoveRecord | None:
    if item.replacement is None:
        share = read_shares(service)[item.version]
        planner.refuse(
            entry,
            "version",
            f"{item.version} still carries {share:.0%} of the traffic; add a replacement",
        )
        return None
    if not planner.reserve_subject(entry, make_service_key(item.service), "service"):
        return None
    if item.replacement == item.version:
        planner.refuse(entry, "replacement", "the same as the version; name another version")
        return None
    return _plan_ramp(planner, entry, item.service, item.version, item.replacement, 1.0)


def _plan_data_centre(planner: NotePlanner, entry: NoteItem, item: DataCentreItem) -> None:
    name = item.data_centre
    if isinstance(item, ChangedDataCentreItem):
        state = item.state
    else:
        added = entry.section is Section.ADDED
        state = DataCentreState.IN if added else DataCentreState.OUT
    if not planner.reserve_subject(entry, make_data_centre_key(name), "data_centre"):
        return
    if name not in planner.document.data_centres and entry.section is not Section.ADDED:
        known = ", ".join(planner.document.data_centres) or "none"
        planner.refuse(entry, "data_centre", f"{name!r} is unknown; use one of: {known}")
        return
    planner.add_description(entry, f"data centre {name}: {state.value}")
    change = MoveChange(action="data_centre", state=state)
    planner.add_move(entry, MoveKind.DATA_CENTRE, name, change)


def _check_active_data_centres(planner: NotePlanner) -> None:
    """Refuse the note if it would leave no data centre in."""
    data_centres = dict(planner.document.data_centres)
    for move in planner.moves:
        state = move.change.get("state")
        if state == DataCentreState.OUT.value:
            data_centres.pop(move.subject, None)
        elif state == DataCentreState.IN.value:
            return
    if planner.document.data_centres and not list_active_data_centres(data_centres):
        planner.reasons.append("note: every data centre would be out; keep at least one in")


def _plan_share(planner: NotePlanner, entry: NoteItem, item: ShareItem) -> None:
    service = planner.find_service(entry, item.service)
    if service is None:
        return
    owner = planner.subject_owners.get(make_service_key(item.service), "")
    if owner and not owner.startswith("shares of "):
        planner.refuse(entry, "service", f"{item.service} is named by {owner} too; keep one")
        return
    planner.subject_owners[make_service_key(item.service)] = f"shares of {item.service}"
    if item.version not in service.versions:
        known = ", ".join(service.versions)
        planner.refuse(entry, "version", f"{item.version} is unknown; use one of: {known}")
        return
    current, canary = read_shares(service)[item.version], planner.policy.canary_share
    if current <= canary < item.share:
        planner.refuse(
            entry,
            "share",
            f"raises {item.version} from {current:.0%} to above the canary share {canary:.0%} "
            "at once; list it as kind version, which moves in steps",
        )
        return
    if not planner.reserve_subject(entry, f"share/{item.service}/{item.version}", "version"):
        return
    planner.add_description(entry, f"{item.service}: {item.version} gets {item.share:.0%}")
    planner.add_move(
        entry,
        MoveKind.SHARE,
        item.service,
        MoveChange(action="shares", shares={item.version: item.share}),
        to_version=item.version,
        target_share=item.share,
    )


def _complete_share_moves(planner: NotePlanner) -> None:
    """Check the share items of each service and give each the shares of all versions.

    Each of the moves then sets all shares in one write, so that they always sum to 1.
    """
    names = dict.fromkeys(m.subject for m in planner.moves if m.kind is MoveKind.SHARE)
    for name in names:
        share_moves = [m for m in planner.moves if m.kind is MoveKind.SHARE and m.subject == name]
        shares = read_shares(planner.services[name])
        shares.update({m.to_version: m.target_share for m in share_moves})
        if not is_share_sum_one(shares):
            planner.reasons.append(
                f"changed: shares of {name} sum to {sum(shares.values()):g}; "
                "make them sum to 1, versions without an item keep theirs"
            )
        times = {(m.due_ms, m.change.get("not_before_ms", 0)) for m in share_moves}
        if len(times) > 1:
            planner.reasons.append(
                f"changed: shares of {name} have different hours; give them the same"
            )
        planner.moves = [
            (
                m.model_copy(update={"change": m.change | {"shares": shares}})
                if m in share_moves
                else m
            )
            for m in planner.moves
        ]


def _plan_service(planner: NotePlanner, entry: NoteItem, item: ServiceItem) -> None:
    if not planner.reserve_subject(entry, make_service_key(item.service), "service"):
        return
    current = planner.document.services.get(item.service)
    if entry.section is Section.ADDED and current is not None:
        planner.refuse(entry, "service", f"{item.service} exists; list it under changed")
        return
    if entry.section is Section.CHANGED:
        if planner.find_service(entry, item.service) is None:
            return
        if item.definition.versions != current.versions:
            planner.refuse(
                entry,
                "definition.versions",
                "differs from the configuration; keep it and use items of kind version",
            )
            return
    shares = read_shares(item.definition)
    if not is_share_sum_one(shares):
        planner.refuse(
            entry,
            "definition.versions",
            f"shares sum to {sum(shares.values()):g}; make them sum to 1",
        )
        return
    planner.add_description(entry, f"service {item.service}: {entry.section.value}")
    change = MoveChange(action="service", definition=item.definition)
    planner.add_move(entry, MoveKind.SERVICE, item.service, change)


def _plan_service_withdrawal(
    planner: NotePlanner, entry: NoteItem, item: WithdrawnServiceItem
) -> None:
    if planner.find_service(entry, item.service) is None:
        return
    if not planner.reserve_subject(entry, make_service_key(item.service), "service"):
        return
    planner.add_description(entry, f"service {item.service}: withdrawn")
    change = MoveChange(action="remove_service")
    planner.add_move(entry, MoveKind.SERVICE, item.service, change)
