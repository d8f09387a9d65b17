"""A group of ranks on a virtual clock, for tests of expert maps."""

import random

from twisted.internet import defer
from twisted.internet import task

from godwitdale_experts import map_change
from godwitdale_experts import replication
from godwitdale_gateway import directory as directory_lib
from godwitdale_gateway import expert_balancer
from godwitdale_gateway import groups
from godwitdale_gateway import map_changer
from godwitdale_gateway import ranks as ranks_lib
from godwitdale_http import pool
from godwitdale_observe import logs
from godwitdale_routing import routes
from godwitdale_verdicts import exceptions

SERVICE = "llm"
PASS_S = 0.06
HOT_SHARE = 0.3
LAYOUT = routes.ExpertLayout(
    sets=2,
    experts=24,
    replica_slots=8,
    max_new=4,
    copy_s=0.1,
    report_lag_s=0.2,
)
ENGINE = routes.Engine(slots=6, layout=LAYOUT)
RANKS = 6
CHOICES = 2000


class Rank:
    """One rank of the group."""

    def __init__(self, number):
        self.number = number
        held = tuple(range(number, LAYOUT.experts, RANKS))
        self.experts = (held,) * LAYOUT.sets
        self.version = 0
        self.highest = 0
        self.prepared = None
        self.copied_s = 0.0
        self.armed = None
        self.held = None
        self.fence = -1
        self.pace = 1.0
        self.counts = [0] * (LAYOUT.sets * LAYOUT.experts)


class Group:
    """Begins passes in step, obeys orders, and notes what went wrong.

    Attributes:
        hot: The expert in demand, by set.
        is_mixed: Whether a pass has begun on two maps.
        lost_share: Share of the orders that are carried out late, unanswered.
        frozen: Entries that get no answers any more.
    """

    def __init__(self, clock, seed=1):
        self.clock = clock
        self.rng = random.Random(seed)
        self.ranks = {f"rank-{number}": Rank(number) for number in range(RANKS)}
        self.hot = [0] * LAYOUT.sets
        self.epoch = 1
        self.step = 0
        self.is_mixed = False
        self.lost_share = 0.0
        self.orders = []
        self.reads = 0
        self.passed_s = clock.seconds()
        self.longest_pause_s = 0.0
        self.skews = []
        clock.callLater(PASS_S, self.begin_pass)

    def begin_pass(self):
        self.clock.callLater(PASS_S, self.begin_pass)
        step = self.step + 1
        if any(rank.held == step for rank in self.ranks.values()):
            return
        self.step = step
        pause_s = self.clock.seconds() - self.passed_s
        self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.passed_s = self.clock.seconds()
        for rank in self.ranks.values():
            if rank.armed is not None and rank.armed[1] == step:
                rank.version, rank.experts = rank.armed[0], rank.prepared[1]
                rank.prepared = rank.armed = None
        contents = {rank.version for rank in self.ranks.values()}
        self.is_mixed = self.is_mixed or len(contents) > 1
        for rank in self.ranks.values():
            for index, hot in enumerate(self.hot):
                begin = index * LAYOUT.experts
                for expert in range(LAYOUT.experts):
                    rank.counts[begin + expert] += CHOICES // LAYOUT.experts
                rank.counts[begin + hot] += int(CHOICES * HOT_SHARE)
        self.skews.append(self.skew())

    def first_skew(self):
        """Returns the skew that the first map would have now."""
        first = [Rank(number).experts for number in range(RANKS)]
        return self._skew(first, [1.0] * RANKS)

    def skew(self):
        ranked = sorted(self.ranks.values(), key=lambda rank: rank.number)
        return self._skew(
            [rank.experts for rank in ranked], [rank.pace for rank in ranked]
        )

    def _skew(self, experts, paces):
        cold = (1 - HOT_SHARE) / LAYOUT.experts
        loads = [
            [cold + HOT_SHARE * (expert == hot) for expert in range(24)]
            for hot in self.hot
        ]
        maps = list(zip(*experts, strict=True))
        return replication.skew(maps, loads, paces)

    def form_anew(self):
        """A rank has gone and come back."""
        self.epoch += 1
        for name, rank in self.ranks.items():
            self.ranks[name] = Rank(rank.number)

    def is_held(self):
        return any(rank.held is not None for rank in self.ranks.values())

    def report(self, name):
        rank = self.ranks[name]
        return ranks_lib.RankReport(
            group="g",
            epoch=self.epoch,
            rank=rank.number,
            size=RANKS,
            is_open=True,
            step=self.step,
            prepared_version=rank.prepared and rank.prepared[0],
            armed=rank.armed and ranks_lib.ArmedChange(*rank.armed),
            hold_step=rank.held,
            slowdown=rank.pace,
        )

    def obey(self, order, experts):
        rank = self.ranks[order.rank]
        if order.fencing_token < rank.fence:
            return map_change.CommandResult.FENCED
        if order.epoch != self.epoch:
            return map_change.CommandResult.CONFLICT
        rank.fence = order.fencing_token
        is_done = getattr(self, f"_{order.operation.value}")(
            rank, order, experts
        )
        return (
            map_change.CommandResult.DONE
            if is_done
            else map_change.CommandResult.CONFLICT
        )

    def _prepare(self, rank, order, experts):
        mine = tuple(each[rank.number] for each in experts)
        if rank.prepared is not None and rank.prepared[0] == order.version:
            return True
        new = [
            len(set(planned) - set(held))
            for planned, held in zip(mine, rank.experts, strict=True)
        ]
        fits = all(len(planned) <= LAYOUT.replica_slots for planned in mine)
        is_allowed = order.version > rank.highest and rank.armed is None
        if not is_allowed or max(new) > LAYOUT.max_new or not fits:
            return False
        rank.highest = order.version
        rank.prepared = (order.version, mine)
        rank.copied_s = self.clock.seconds() + sum(new) * LAYOUT.copy_s
        return True

    def _hold(self, rank, order, _experts):
        if order.step <= self.step or rank.held not in (None, order.step):
            return False
        rank.held = order.step
        return True

    def _arm(self, rank, order, _experts):
        is_ready = (
            rank.prepared is not None
            and rank.prepared[0] == order.version
            and self.clock.seconds() >= rank.copied_s
        )
        if not is_ready or order.step <= self.step:
            return False
        rank.armed = (order.version, order.step)
        return True

    def _disarm(self, rank, order, _experts):
        if rank.version == order.version:
            return False
        if rank.armed is not None and rank.armed[0] == order.version:
            rank.armed = None
        return True

    def _go(self, rank, order, _experts):
        if rank.held == order.step:
            rank.held = None
        return True


class Ranks:
    """Speaks to the group for one entry, which may be frozen."""

    def __init__(self, group):
        self.group = group
        self.is_frozen = False
        self.freezes_at = None

    async def _way(self):
        if self.is_frozen:
            await defer.Deferred()
        await task.deferLater(self.group.clock, 0.002)
        if self.is_frozen:
            await defer.Deferred()

    async def read_report(self, endpoint):
        await self._way()
        return self.group.report(endpoint.id)

    async def read_counts(self, endpoint):
        await self._way()
        self.group.reads += 1
        rank = self.group.ranks[endpoint.id]
        return ranks_lib.ExpertCounts(self.group.epoch, tuple(rank.counts))

    async def read_experts(self, endpoint):
        await self._way()
        rank = self.group.ranks[endpoint.id]
        return ranks_lib.HeldExperts(
            self.group.epoch, rank.version, rank.experts
        )

    async def send_command(self, endpoint, order, experts):
        if order.operation is self.freezes_at:
            self.is_frozen = True
        await self._way()
        self.group.orders.append(order)
        if self.group.rng.random() < self.group.lost_share:
            late_s = self.group.rng.uniform(2.0, 12.0)
            self.group.clock.callLater(late_s, self.group.obey, order, experts)
            await task.deferLater(self.group.clock, 0.15)
            return map_change.CommandResult.UNKNOWN
        return self.group.obey(order, experts)


class Bulletin:
    """What the entries tell each other."""

    def __init__(self):
        self.names = []
        self.gone = set()
        self.announced = {}
        self.settled = set()


class Entries:
    """The other entries, as one of them knows them."""

    def __init__(self, bulletin, name):
        self._bulletin = bulletin
        self._name = name
        bulletin.names.append(name)

    @property
    def seniority(self):
        older = self._bulletin.names[: self._bulletin.names.index(self._name)]
        left_out = self._bulletin.gone | set(self._bulletin.announced)
        return len([name for name in older if name not in left_out])

    @property
    def is_oldest(self):
        return self.seniority == 0 and not self.announced_changes()

    def announced_changes(self):
        return [
            change
            for name, change in self._bulletin.announced.items()
            if name != self._name
            and change.plan.version not in self._bulletin.settled
        ]

    def announce(self, change):
        ended = self._bulletin.announced.pop(self._name, None)
        if change is not None:
            self._bulletin.announced[self._name] = change
        elif ended is not None:
            self._bulletin.settled.add(ended.plan.version)


class Claims:
    """Hands out generations."""

    def __init__(self):
        self.generation = 0
        self.is_away = False

    async def acquire_ownership(self, _name):
        if self.is_away:
            raise exceptions.PlatformUnavailableError("the store is away")
        self.generation += 1
        return self.generation


class Load:
    """What the placing of requests would know."""

    def __init__(self, group):
        self._group = group
        self.strains = 0.7

    def stalled_s(self, _service):
        return self._group.clock.seconds() - self._group.passed_s

    def iteration_s(self, _service):
        return PASS_S

    def iteration_ratio(self, _service):
        return self.strains


class Entry:
    """One entry that may have the duty."""

    def __init__(self, group, bulletin, claims, name):
        self.ranks = Ranks(group)
        self.load = Load(group)
        self.log = logs.EventLog()
        directory = directory_lib.Directory(lambda _: None)
        for rank in group.ranks:
            directory.put(
                directory_lib.Endpoint(
                    rank, SERVICE, pool.Address(rank, 1), "z", 6, False
                ),
                0.0,
            )
        entries = Entries(bulletin, name)
        group_reader = groups.GroupReader(self.ranks, directory, self.log)
        changer = map_changer.MapChanger(
            name,
            self.ranks,
            group_reader,
            entries,
            claims,
            group.clock,
            self.log,
        )
        self.balancer = expert_balancer.ExpertBalancer(
            self.ranks,
            group_reader,
            changer,
            entries,
            self.load,
            group.clock,
            random.Random(1),
            self.log,
        )
        self.balancer.configure({SERVICE: ENGINE})
        self.failed = []
        for running in (self.balancer.run(), self.balancer.watch()):
            defer.ensureDeferred(running).addErrback(self.failed.append)


class Stage:
    """A group and the entries that care for it."""

    def __init__(self, entries=2, seed=1):
        self.clock = task.Clock()
        self.group = Group(self.clock, seed)
        self.bulletin = Bulletin()
        self.claims = Claims()
        self.entries = [self.enter(f"entry-{n}") for n in range(entries)]

    def enter(self, name):
        return Entry(self.group, self.bulletin, self.claims, name)

    def run(self, seconds):
        for _ in range(int(seconds / 0.01)):
            self.clock.advance(0.01)
        assert not any(entry.failed for entry in self.entries)
