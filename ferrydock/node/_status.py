"""The status of a site from the view of one daemon, for `ferrydock status` and `table watch`."""

from ..placement import ReplicaPhase

__all__ = ["status_fields"]


def status_fields(node) -> dict:
    """Return the status as JSON fields."""
    now_s = node.clock.now_s()
    own = node.state.summarize_hall(now_s)
    halls = [_hall_fields(own, now_s)]
    halls += [
        _hall_fields(s, now_s) for s in sorted(node.state.halls.values(), key=lambda s: s.hall)
    ]
    return {
        "daemon": node.name,
        "hall": node.settings.hall,
        "revision": node.keeper.revision,
        "lineage": node.keeper.lineage,
        "region": node.settings.region,
        "store": str(node.watcher.comparison),
        "store_answered_ago_s": _age_s(node.watcher.last_answer_s, now_s),
        "controller": own.controller,
        "controller_mode": str(node.controller.mode),
        "halls": halls,
        "members": _members(node),
        "replicas": _replicas(node, now_s),
        "waiting": _waiting(node),
        "limit_parts": {
            name: round(node.limits.part_of(name), 4) for name in node.limits.share_names()
        },
        "counters": _counters(node),
    }


def _age_s(event_s: float | None, now_s: float) -> float | None:
    return None if event_s is None else round(now_s - event_s, 2)


def _hall_fields(summary, now_s: float) -> dict:
    return {
        "hall": summary.hall,
        "age_s": round(now_s - summary.made_s, 2),
        "daemons": summary.daemons,
        "lowest_revision": summary.lowest_revision,
        "controller": summary.controller,
        "store_away": summary.store_away,
        "wanted": summary.wanted,
        "serving": summary.serving,
        "known": [
            {"name": c.name, "revision": c.table_revision, "url": c.url} for c in summary.contacts
        ],
    }


def _members(node) -> list[dict]:
    members = node.state.members
    rows = []
    for info in sorted(members.all_members(), key=lambda m: m.name):
        is_own = info.name == node.name
        rows.append(
            {
                "name": info.name,
                "status": info.status.name.lower(),
                "stopping": info.stopping,
                "revision": node.keeper.revision if is_own else members.revision_of(info.name),
                "url": info.url,
            }
        )
    return rows


def _replicas(node, now_s: float) -> list[dict]:
    rows = []
    for replica in sorted(node.state.placement.replicas.values(), key=lambda r: r.replica_id):
        statement = node.attestations.get(replica.replica_id)
        rows.append(
            {
                "replica": replica.replica_id,
                "model": replica.model,
                "version": replica.version,
                "phase": replica.phase.value,
                "whole": node.attestations.is_complete(replica, now_s),
                "generation": str(replica.generation),
                "boxes": list(replica.boxes),
                "running": statement.running if statement else 0,
                "waiting": statement.waiting if statement else 0,
                "why": node.controller.reasons.get(replica.replica_id, ""),
            }
        )
    return rows


def _waiting(node) -> list[dict]:
    """Return missing replicas and queued requests of the hall, with reasons."""
    view = node.keeper.view
    if view is None:
        return [{"what": "table", "why": "no table yet"}]
    rows = []
    for model in view.models.values():
        model_replicas = [
            r for r in node.state.placement.replicas.values() if r.model == model.name
        ]
        serving = sum(1 for r in model_replicas if r.phase is ReplicaPhase.SERVING)
        wanted = model.replicas_in(node.settings.hall)
        if serving < wanted:
            why = node.controller.reasons.get(model.name, "")
            rows.append(
                {"what": f"model {model.name}", "serving": serving, "wanted": wanted, "why": why}
            )
    for model, length in node.gate.queue_lengths().items():
        rows.append({"what": f"queue of {model}", "requests": length, "why": "no room"})
    return rows


def _counters(node) -> dict:
    return {
        "peer_sent_bytes": node.exchange_client.sent_bytes + node.exchange_server.sent_bytes,
        "peer_received_bytes": node.exchange_client.received_bytes
        + node.exchange_server.received_bytes,
        "probes": node.prober.probe_count + node.observer.probe_count,
        "orders": node.controller.counters.orders,
        "orders_refused": node.controller.counters.refused_orders,
        "record_writes": node.controller.counters.writes,
        "claim_writes": node.claim_writer.transaction_count,
        "retries": node.executor.budget.spent,
        "in_flight": node.gateway.in_flight,
        "box_list_reads": node.observer.list_read_count,
        "connections": node.gateway.connection_counts(),
    }
