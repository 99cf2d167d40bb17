"""Planning of the items of a release note, one function for each kind."""

from zinnia_model.configuration import (
    DataCentreState,
    MoveKind,
    MoveRecord,
    ServiceConfig,
    VersionConfig,
)
from zinnia_releases.changes import (
    MoveChange,
    has_full_share,
    list_open,
    name_data_centre,
    name_service,
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
from zinnia_releases.planner import Planner


def list_subjects(note: Note) -> list[str]:
    """Return the keys of ``ConfigDocument.touched`` of what a note names."""
    subjects = [
        (
            name_data_centre(entry.item.data_centre)
            if isinstance(entry.item, DataCentreItem)
            else name_service(entry.item.service)
        )
        for entry in note.items
    ]
    return list(dict.fromkeys(subjects))


def plan_items(plan: Planner, note: Note) -> None:
    """Plan every item, withdrawals last because other items may free a version first."""
    for entry in note.items:
        _plan_item(plan, entry)
    _check_shares(plan)
    _check_open(plan)


def _plan_item(plan: Planner, entry: NoteItem) -> None:
    item = entry.item
    if not plan.check_times(entry):
        return
    if isinstance(item, VersionItem):
        _plan_version(plan, entry, item)
    elif isinstance(item, WithdrawnVersionItem):
        _plan_withdrawal(plan, entry, item)
    elif isinstance(item, DataCentreItem):
        _plan_data_centre(plan, entry, item)
    elif isinstance(item, ShareItem):
        _plan_share(plan, entry, item)
    elif isinstance(item, ServiceItem):
        _plan_service(plan, entry, item)
    elif isinstance(item, WithdrawnServiceItem):
        _plan_removal(plan, entry, item)


def _plan_version(plan: Planner, entry: NoteItem, item: VersionItem) -> None:
    service = plan.find_service(entry, item.service)
    if service is None or not plan.claim(entry, name_service(item.service), "service"):
        return
    known = item.version in service.versions
    if entry.section is Section.ADDED and known:
        plan.refuse(entry, "version", f"{item.version} exists; list it under changed")
        return
    if entry.section is Section.CHANGED and not known:
        plan.refuse(entry, "version", f"{item.version} is unknown; list it under added")
        return
    old = _find_replaced(plan, entry, item, service)
    if old is not None:
        _ramp(plan, entry, item.service, old, item.version, item.share)


def _find_replaced(
    plan: Planner, entry: NoteItem, item: VersionItem, service: ServiceConfig
) -> str | None:
    carrying = [v for v, s in read_shares(service).items() if s > 0 and v != item.version]
    if item.replaces is None:
        if len(carrying) == 1:
            return carrying[0]
        choices = ", ".join(carrying) or "none carries traffic"
        plan.refuse(entry, "replaces", f"not clear; name the version it replaces: {choices}")
        return None
    if item.replaces in carrying:
        return item.replaces
    plan.refuse(
        entry,
        "replaces",
        f"{item.replaces} carries no traffic of {item.service}; "
        f"name one of: {', '.join(carrying) or 'none'}",
    )
    return None


def _ramp(
    plan: Planner, entry: NoteItem, name: str, old: str, new: str, share: float
) -> MoveRecord:
    service = plan.services[name]
    if new not in service.versions:
        versions = service.versions | {new: VersionConfig(share=0.0)}
        plan.services[name] = service.model_copy(update={"versions": versions})
    plan.describe(entry, f"{name}: move {share:.0%} of the traffic of {old} to {new}")
    return plan.add_move(
        entry,
        MoveKind.VERSION,
        name,
        MoveChange(action="ramp"),
        from_version=old,
        to_version=new,
        target_share=share,
    )


def _plan_withdrawal(plan: Planner, entry: NoteItem, item: WithdrawnVersionItem) -> None:
    service = plan.find_service(entry, item.service)
    if service is None:
        return
    if item.version not in service.versions:
        plan.refuse(entry, "version", f"{item.version} is unknown; remove the item")
        return
    if not plan.claim(entry, f"withdrawn/{item.service}/{item.version}", "version"):
        return
    if any((m.subject, m.to_version) == (item.service, item.version) for m in plan.moves):
        plan.refuse(entry, "version", f"{item.version} gets traffic by this note; keep one of both")
        return
    first = _find_replacing(plan, item)
    if first is None and read_shares(service)[item.version] > 0:
        first = _replace_withdrawn(plan, entry, item, service)
        if first is None:
            return
    if first is not None and entry.due_ms < first.due_ms:
        plan.refuse(entry, "by", f"before the hour of move {first.id}; choose a later hour")
    plan.describe(entry, f"{item.service}: withdraw version {item.version}")
    after = first.id if first is not None else ""
    change = MoveChange(action="withdraw_version", after=after)
    plan.add_move(entry, MoveKind.VERSION, item.service, change, from_version=item.version)


def _find_replacing(plan: Planner, item: WithdrawnVersionItem) -> MoveRecord | None:
    """Return the move of this note that takes all traffic from the withdrawn version."""
    for move in plan.moves:
        if (move.subject, move.from_version) != (item.service, item.version):
            continue
        if move.kind is MoveKind.VERSION and move.target_share == 1.0 and move.to_version:
            return move
    return None


def _replace_withdrawn(
    plan: Planner, entry: NoteItem, item: WithdrawnVersionItem, service: ServiceConfig
) -> MoveRecord | None:
    if item.replacement is None:
        share = read_shares(service)[item.version]
        plan.refuse(
            entry,
            "version",
            f"{item.version} still carries {share:.0%} of the traffic; add a replacement",
        )
        return None
    if not plan.claim(entry, name_service(item.service), "service"):
        return None
    if item.replacement == item.version:
        plan.refuse(entry, "replacement", "the same as the version; name another version")
        return None
    return _ramp(plan, entry, item.service, item.version, item.replacement, 1.0)


def _plan_data_centre(plan: Planner, entry: NoteItem, item: DataCentreItem) -> None:
    name = item.data_centre
    if isinstance(item, ChangedDataCentreItem):
        state = item.state
    else:
        added = entry.section is Section.ADDED
        state = DataCentreState.IN if added else DataCentreState.OUT
    if not plan.claim(entry, name_data_centre(name), "data_centre"):
        return
    if name not in plan.document.data_centres and entry.section is not Section.ADDED:
        known = ", ".join(plan.document.data_centres) or "none"
        plan.refuse(entry, "data_centre", f"{name!r} is unknown; use one of: {known}")
        return
    plan.describe(entry, f"data centre {name}: {state.value}")
    change = MoveChange(action="data_centre", state=state)
    plan.add_move(entry, MoveKind.DATA_CENTRE, name, change)


def _check_open(plan: Planner) -> None:
    """Refuse a note after which no data centre takes new work."""
    data_centres = dict(plan.document.data_centres)
    for move in plan.moves:
        state = move.change.get("state")
        if state == DataCentreState.OUT.value:
            data_centres.pop(move.subject, None)
        elif state == DataCentreState.IN.value:
            return
    if plan.document.data_centres and not list_open(data_centres):
        plan.reasons.append("note: every data centre would be out; keep at least one in")


def _plan_share(plan: Planner, entry: NoteItem, item: ShareItem) -> None:
    service = plan.find_service(entry, item.service)
    if service is None:
        return
    owner = plan.claimed.get(name_service(item.service), "")
    if owner and not owner.startswith("shares of "):
        plan.refuse(entry, "service", f"{item.service} is named by {owner} too; keep one")
        return
    plan.claimed[name_service(item.service)] = f"shares of {item.service}"
    if item.version not in service.versions:
        known = ", ".join(service.versions)
        plan.refuse(entry, "version", f"{item.version} is unknown; use one of: {known}")
        return
    current, canary = read_shares(service)[item.version], plan.policy.canary_share
    if current <= canary < item.share:
        plan.refuse(
            entry,
            "share",
            f"raises {item.version} from {current:.0%} to above the canary share {canary:.0%} "
            "at once; list it as kind version, which moves in steps",
        )
        return
    if not plan.claim(entry, f"share/{item.service}/{item.version}", "version"):
        return
    plan.describe(entry, f"{item.service}: {item.version} gets {item.share:.0%}")
    plan.add_move(
        entry,
        MoveKind.SHARE,
        item.service,
        MoveChange(action="shares", shares={item.version: item.share}),
        to_version=item.version,
        target_share=item.share,
    )


def _check_shares(plan: Planner) -> None:
    """Give every share item of a service the shares of all, so that one write applies them."""
    names = dict.fromkeys(m.subject for m in plan.moves if m.kind is MoveKind.SHARE)
    for name in names:
        group = [m for m in plan.moves if m.kind is MoveKind.SHARE and m.subject == name]
        shares = read_shares(plan.services[name])
        shares.update({m.to_version: m.target_share for m in group})
        if not has_full_share(shares):
            plan.reasons.append(
                f"changed: shares of {name} sum to {sum(shares.values()):g}; "
                "make them sum to 1, versions without an item keep theirs"
            )
        times = {(m.due_ms, m.change.get("not_before_ms", 0)) for m in group}
        if len(times) > 1:
            plan.reasons.append(
                f"changed: shares of {name} have different hours; give them the same"
            )
        plan.moves = [
            m.model_copy(update={"change": m.change | {"shares": shares}}) if m in group else m
            for m in plan.moves
        ]


def _plan_service(plan: Planner, entry: NoteItem, item: ServiceItem) -> None:
    if not plan.claim(entry, name_service(item.service), "service"):
        return
    current = plan.document.services.get(item.service)
    if entry.section is Section.ADDED and current is not None:
        plan.refuse(entry, "service", f"{item.service} exists; list it under changed")
        return
    if entry.section is Section.CHANGED:
        if plan.find_service(entry, item.service) is None:
            return
        if item.definition.versions != current.versions:
            plan.refuse(
                entry,
                "definition.versions",
                "differs from the configuration; keep it and use items of kind version",
            )
            return
    shares = read_shares(item.definition)
    if not has_full_share(shares):
        plan.refuse(
            entry,
            "definition.versions",
            f"shares sum to {sum(shares.values()):g}; make them sum to 1",
        )
        return
    plan.describe(entry, f"service {item.service}: {entry.section.value}")
    change = MoveChange(action="service", definition=item.definition)
    plan.add_move(entry, MoveKind.SERVICE, item.service, change)


def _plan_removal(plan: Planner, entry: NoteItem, item: WithdrawnServiceItem) -> None:
    if plan.find_service(entry, item.service) is None:
        return
    if not plan.claim(entry, name_service(item.service), "service"):
        return
    plan.describe(entry, f"service {item.service}: withdrawn")
    change = MoveChange(action="remove_service")
    plan.add_move(entry, MoveKind.SERVICE, item.service, change)
