"""Rule: which replicas each fabric domain of a site should hold while a model is short of slots.

Pure: every hall leader computes the plan of the whole site from facts that all leaders share, and
carries out the part of its own hall. Handles a change of the traffic mix and a burst for one model
while other models have more replicas than they need. `_site_planner` collects the facts.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from ..configuration import EngineSpec, ModelSpec
from ._model_weights import SPARE_REPLICAS, replicas_needed
from ._plan import SPARE_FRACTION

__all__ = [
    "GivenReplica",
    "SiteDomain",
    "SiteFacts",
    "SitePlan",
    "SiteReplica",
    "needed_slots",
    "short_models",
    "site_plan",
]

# At most this fraction of a model's replicas leaves it within `_site_planner.LEAVE_INTERVAL_S`, so
# that the others can take its requests; one may always leave, or small sites could not change.
MAX_LEAVING_FRACTION = 0.25

# A replica is given away only for at least this fraction of a replica of the model that lacks it.
# Less is within the margin of two standard deviations, and does not make up for the loading.
MIN_LACK_FRACTION = 0.5

# Replicas that stay with a model, on the whole site: two while it has demand, so that the loss of
# one does not leave its requests without any.
MIN_REPLICAS = 1
MIN_REPLICAS_WITH_DEMAND = 2


@dataclass(frozen=True, slots=True)
class SiteReplica:
    """A replica of the site.

    Attributes
    ----------
    key : (str, int)
        Name and epoch.
    is_open : bool
        Whether it serves; otherwise it is being formed.
    to_model : str
        Model for which it was given away, while it still serves its own; empty for none.
    """

    key: tuple[str, int]
    model: str
    is_open: bool = True
    to_model: str = ""


@dataclass(frozen=True, slots=True)
class SiteDomain:
    """A fabric domain of the site.

    Attributes
    ----------
    usable : int
        Number of its usable targets, in a replica or not.
    holders : mapping of str to int
        Number of targets in no replica whose hosts hold the weights of a model, by model.
    is_open : bool
        Whether its hall may be used. The replicas of an evacuated hall are no capacity.
    reserved : mapping of str to int
        Number of targets that were given to a model, by model, until it has formed replicas there.
        Other models do not get them, and the model gets its replicas even if it no longer lacks
        any: a change that was decided is completed.
    """

    hall: str
    name: str
    usable: int
    replicas: tuple[SiteReplica, ...]
    holders: Mapping[str, int] = field(default_factory=dict)
    is_open: bool = True
    reserved: Mapping[str, int] = field(default_factory=dict)

    @property
    def key(self) -> tuple[str, str]:
        """Hall and name."""
        return self.hall, self.name


@dataclass(frozen=True, slots=True)
class SiteFacts:
    """What the plan of a site depends on.

    Attributes
    ----------
    slots_wanted : mapping of str to float
        Slots that requests for each model fill on average on the whole site.
    refused_need : mapping of str to float
        For models of which requests are refused: the slots that the model had, and those that the
        refused requests lacked. Demand shows a burst later than refusals do.
    recent_counts : mapping of str to int
        Largest number of replicas of each model within the last seconds in which the number of
        replicas that leave is bounded; models that are missing have lost none.
    held_back : frozenset of (str, str, str)
        Hall, model and other model: replicas of the model are not given to the other there, since
        the opposite change was decided a short time ago.
    fruitless : frozenset of (str, str, str, str)
        Hall, domain, model and other model: the same in one domain, since that very change was
        decided a short time ago and came to nothing.
    """

    domains: tuple[SiteDomain, ...]
    slots_wanted: Mapping[str, float]
    refused_need: Mapping[str, float] = field(default_factory=dict)
    recent_counts: Mapping[str, int] = field(default_factory=dict)
    held_back: frozenset[tuple[str, str, str]] = frozenset()
    fruitless: frozenset[tuple[str, str, str, str]] = frozenset()


@dataclass(frozen=True, slots=True)
class GivenReplica:
    """A replica that is given away, and the model that gets its targets."""

    hall: str
    key: tuple[str, int]
    model: str
    to_model: str


@dataclass(frozen=True, slots=True)
class SitePlan:
    """The plan of a site.

    Attributes
    ----------
    counts : mapping
        Number of replicas that each domain should hold by model, by hall and name of the domain.
    given : tuple of GivenReplica
        Existing replicas to give away now.
    lacking : mapping of str to float
        Replicas that the plan does not provide, for the models that lack some, not rounded.
    """

    counts: Mapping[tuple[str, str], Mapping[str, int]]
    given: tuple[GivenReplica, ...] = ()
    lacking: Mapping[str, float] = field(default_factory=dict)

    def site_counts(self) -> dict[str, int]:
        """Return the number of replicas of the whole site, by model."""
        total: Counter[str] = Counter()
        for counts in self.counts.values():
            total.update(counts)
        return dict(total)


def needed_slots(model: ModelSpec, engine: EngineSpec, facts: SiteFacts) -> float:
    """Return the slots that a model needs: its demand and two standard deviations, or refusals."""
    wanted = facts.slots_wanted.get(model.name, 0.0)
    by_demand = replicas_needed(wanted, engine.slots, spare_replicas=0.0) * engine.slots
    return max(by_demand, facts.refused_need.get(model.name, 0.0))


def short_models(engine: EngineSpec, facts: SiteFacts) -> frozenset[str]:
    """Return the models that need more slots than their open replicas have, or refuse requests."""
    open_count = Counter(
        replica.model
        for domain in facts.domains
        if domain.is_open
        for replica in domain.replicas
        if replica.is_open
    )
    return frozenset(
        model.name
        for model in engine.models
        if facts.refused_need.get(model.name, 0.0) > 0.0
        or needed_slots(model, engine, facts) > open_count[model.name] * engine.slots
    )


def site_plan(engine: EngineSpec, facts: SiteFacts) -> SitePlan:
    """Return what each domain should hold, and the replicas to give away now.

    Notes
    -----
    Targets in no replica go to the models that lack slots, in proportion to what they lack. What is
    still missing then comes from replicas of models that need fewer than they have. Domains of
    halls that are not open stay as they are. If the plan provides what all models lack, further
    free targets restore the spare replica of each model. Nothing depends on the order of the facts,
    so that all leaders come to the same plan.

    Examples
    --------
    >>> from ferrydock.replicas.tests.specs import two_models
    >>> larges = tuple(SiteReplica((f"r{n}", 1), "large") for n in range(3))
    >>> facts = SiteFacts((SiteDomain("a", "d", 14, larges),), {"small": 30.0})
    >>> plan = site_plan(two_models(), facts)
    >>> plan.counts
    {('a', 'd'): {'large': 2, 'small': 3}}
    >>> plan.given
    (GivenReplica(hall='a', key=('r2', 1), model='large', to_model='small'),)
    """
    draft = _Draft(engine, facts)
    draft.place_changing()
    draft.fill()
    draft.give()
    draft.fill()
    draft.restore_spares()
    return draft.plan()


class _DomainDraft:
    """A domain while its plan is computed: free targets, and replicas by model."""

    __slots__ = ("counts", "domain", "free", "holders", "kept", "reserved")

    def __init__(self, domain: SiteDomain, sizes: Mapping[str, int]):
        self.domain = domain
        self.kept = sorted(
            (r for r in domain.replicas if r.model in sizes and not r.to_model),
            key=lambda replica: replica.key,
        )
        self.counts: Counter[str] = Counter(replica.model for replica in self.kept)
        self.free = max(0, domain.usable - sum(sizes[replica.model] for replica in self.kept))
        self.holders = Counter(domain.holders)
        self.reserved = Counter(domain.reserved)
        for replica in domain.replicas:
            if replica.to_model in sizes and replica.model in sizes:
                self.reserved[replica.to_model] += sizes[replica.model]

    def room(self, model: ModelSpec) -> int:
        """Return how many free targets are not reserved for other models."""
        for_others = sum(n for name, n in self.reserved.items() if name != model.name)
        return max(0, self.free - for_others)

    def place(self, model: ModelSpec) -> None:
        """Plan one more replica of a model on free targets."""
        self.counts[model.name] += 1
        self.free -= model.size
        self.holders[model.name] = max(0, self.holders[model.name] - model.size)
        self.reserved[model.name] = max(0, self.reserved[model.name] - model.size)


class _Draft:
    """The plan while it is computed."""

    __slots__ = (
        "budgets",
        "counts",
        "domains",
        "engine",
        "facts",
        "given",
        "hall_counts",
        "lacks",
        "needs",
        "sizes",
        "surpluses",
    )

    def __init__(self, engine: EngineSpec, facts: SiteFacts):
        self.engine = engine
        self.facts = facts
        self.sizes = {model.name: model.size for model in engine.models}
        ordered = sorted(facts.domains, key=lambda domain: domain.key)
        self.domains = [_DomainDraft(d, self.sizes) for d in ordered if d.is_open]
        self.given: list[GivenReplica] = []
        self.needs = {m.name: needed_slots(m, engine, facts) / engine.slots for m in engine.models}
        self.counts: Counter[str] = Counter()
        self.hall_counts: Counter[tuple[str, str]] = Counter()
        for draft in self.domains:
            self.counts.update(draft.counts)
            for name, count in draft.counts.items():
                self.hall_counts[draft.domain.hall, name] += count
        self.lacks = {name: need - self.counts[name] for name, need in self.needs.items()}
        self.surpluses = {name: self._surplus(name) for name in self.sizes}
        self.budgets = {name: self._budget(name) for name in self.sizes}

    def _surplus(self, name: str) -> int:
        """Return how many replicas a model can do without."""
        if self.facts.refused_need.get(name, 0.0) > 0:
            return 0
        has_demand = self.needs[name] > 0
        to_keep = MIN_REPLICAS_WITH_DEMAND if has_demand else MIN_REPLICAS
        open_count = sum(r.model == name and r.is_open for d in self.domains for r in d.kept)
        return max(0, min(int(-self.lacks[name]), open_count - to_keep))

    def _budget(self, name: str) -> int:
        """Return how many replicas of a model may leave it now, and not later."""
        count = self.counts[name]
        recent = max(count, self.facts.recent_counts.get(name, 0))
        max_leaving = max(1, int(recent * MAX_LEAVING_FRACTION)) - (recent - count)
        return max(0, min(max_leaving, self.surpluses[name]))

    def place_changing(self) -> None:
        """Plan replicas on the targets of those that are being given away, as was decided."""
        for draft in self.domains:
            for model in sorted(self.engine.models, key=lambda m: (-m.size, m.name)):
                while draft.reserved[model.name] >= model.size <= draft.room(model):
                    self._place(draft, model)

    def fill(self) -> None:
        """Plan replicas of models that lack some on free targets, as long as any fits."""
        lacked_at_first = {name: lack for name, lack in self.lacks.items() if lack > 0}
        while options := [
            model
            for model in self.engine.models
            if self.lacks[model.name] > 0 and any(d.room(model) >= model.size for d in self.domains)
        ]:
            model = max(
                options,
                key=lambda m: (self.lacks[m.name] / lacked_at_first[m.name], m.size, m.name),
            )
            fitting = [draft for draft in self.domains if draft.room(model) >= model.size]
            self._place(min(fitting, key=lambda draft: self._fill_rank(draft, model)), model)

    def _fill_rank(self, draft: _DomainDraft, model: ModelSpec) -> tuple:
        """Rank a domain for one more replica: weights held first, then evenly over the halls."""
        held = min(draft.holders[model.name], model.size)
        in_hall = self.hall_counts[draft.domain.hall, model.name]
        return -held, in_hall, draft.free, draft.domain.key

    def _place(self, draft: _DomainDraft, model: ModelSpec) -> None:
        draft.place(model)
        self.lacks[model.name] -= 1
        self._count(draft, model.name, 1)

    def _count(self, draft: _DomainDraft, name: str, change: int) -> None:
        self.counts[name] += change
        self.hall_counts[draft.domain.hall, name] += change

    def restore_spares(self) -> None:
        """Plan each model's spare replica, if no model lacks slots.

        A model that is still short may use all free targets for it, as those of a given replica
        that it has no other use for; the others leave the usual spares.
        """
        short = short_models(self.engine, self.facts)
        if any(lack > 0 for lack in self.lacks.values()):
            return
        for model in sorted(self.engine.models, key=lambda m: (-m.size, m.name)):
            while self.needs[model.name] + SPARE_REPLICAS > self.counts[model.name]:
                spare_fraction = 0.0 if model.name in short else SPARE_FRACTION
                fitting = [
                    draft
                    for draft in self.domains
                    if draft.room(model) - int(draft.domain.usable * spare_fraction) >= model.size
                ]
                if not fitting:
                    break
                self._place(min(fitting, key=lambda draft: self._fill_rank(draft, model)), model)

    def give(self) -> None:
        """Give surplus replicas to the models that lack most, as far as the bounds allow."""
        lacked_at_first = {name: lack for name, lack in self.lacks.items() if lack > 0}
        blocked: set[str] = set()
        while wanting := [
            model
            for model in self.engine.models
            if self.lacks[model.name] >= MIN_LACK_FRACTION and model.name not in blocked
        ]:
            model = max(
                wanting,
                key=lambda m: (self.lacks[m.name] / lacked_at_first[m.name], m.size, m.name),
            )
            options = [
                (self._give_rank(draft, model, donors), draft, donors)
                for draft in self.domains
                if (donors := self._donors(draft, model))
            ]
            if not options:
                blocked.add(model.name)
                continue
            _, draft, donors = min(options, key=lambda option: option[0])
            for replica in donors:
                self._give(draft, replica, model)
            while draft.room(model) >= model.size and self.lacks[model.name] > 0:
                self._place(draft, model)

    def _donors(self, draft: _DomainDraft, model: ModelSpec) -> list[SiteReplica]:
        """Return the replicas of a domain to give to a model now; empty if none help.

        If more must leave than may at once, these are the first of them; the others follow.
        """
        surplus = [r for r in draft.kept if self._may_give(draft, r, model)]
        surplus.sort(key=lambda replica: (self.sizes[replica.model], replica.key), reverse=True)
        missing = model.size - draft.room(model)
        enough = [replica for replica in surplus if self.sizes[replica.model] >= missing]
        if enough:
            smallest = min(self.sizes[replica.model] for replica in enough)
            chosen = [next(r for r in enough if self.sizes[r.model] == smallest)]
        else:
            chosen = []
            left_over = Counter(self.surpluses)
            for replica in surplus:
                if missing > 0 and left_over[replica.model] > 0:
                    chosen.append(replica)
                    missing -= self.sizes[replica.model]
                    left_over[replica.model] -= 1
            if missing > 0:
                return []
        left = Counter(self.budgets)
        now = []
        for replica in chosen:
            if left[replica.model] > 0:
                left[replica.model] -= 1
                now.append(replica)
        return now

    def _may_give(self, draft: _DomainDraft, replica: SiteReplica, model: ModelSpec) -> bool:
        direction = (replica.model, model.name)
        return (
            replica.is_open
            and replica.model != model.name
            and self.budgets[replica.model] > 0
            and (draft.domain.hall, *direction) not in self.facts.held_back
            and (*draft.domain.key, *direction) not in self.facts.fruitless
        )

    def _give_rank(self, draft: _DomainDraft, model: ModelSpec, donors: list[SiteReplica]) -> tuple:
        """Rank a domain for giving: evenly over the halls, then few replicas and targets unused."""
        hall = draft.domain.hall
        given_in_hall = sum(given.hall == hall for given in self.given)
        still_there = sum(self.hall_counts[hall, name] for name in {r.model for r in donors})
        room = draft.room(model) + sum(self.sizes[replica.model] for replica in donors)
        unused = room % model.size if room >= model.size else room
        return given_in_hall, len(donors), unused, -still_there, draft.domain.key

    def _give(self, draft: _DomainDraft, replica: SiteReplica, model: ModelSpec) -> None:
        draft.kept.remove(replica)
        draft.counts[replica.model] -= 1
        draft.free += self.sizes[replica.model]
        self.budgets[replica.model] -= 1
        self.surpluses[replica.model] -= 1
        self.lacks[replica.model] += 1
        self._count(draft, replica.model, -1)
        self.given.append(GivenReplica(draft.domain.hall, replica.key, replica.model, model.name))

    def plan(self) -> SitePlan:
        """Return the computed plan."""
        names = sorted(self.sizes)
        counts = {d.domain.key: {name: d.counts[name] for name in names} for d in self.domains}
        closed = sorted((d for d in self.facts.domains if not d.is_open), key=lambda d: d.key)
        for domain in closed:
            existing = Counter(replica.model for replica in domain.replicas)
            counts[domain.key] = {name: existing[name] for name in names}
        lacking = {name: lack for name, lack in self.lacks.items() if lack > 0}
        return SitePlan(counts, tuple(self.given), lacking)
