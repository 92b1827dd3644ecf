"""Steps about accounts and turns, run in this process."""

import asyncio
import shutil
import tempfile

import hypothesis
from behave import given, then, when
from hypothesis import strategies as st

from rattanmill_core import wall_seconds
from rattanmill_keeper import KeptTurn, Reserve, Reserved, Settle, Spent, Unsure
from rattanmill_keeper.emptying import Emptying, EmptyingOrders
from rattanmill_keeper.homes import Consent
from rattanmill_keeper.journal import frame, read_frames
from rattanmill_keeper.messages import Keep, Ping, codec
from rattanmill_wire import RequestLink
from support.keepers import Network

_SETTINGS = hypothesis.settings(
    max_examples=300, deadline=None, derandomize=True, database=None
)
_NAMES = ["a", "b", "c"]
_BUDGET = 60
_TOKENS = 40
_name = st.sampled_from(_NAMES)
_OPERATIONS = st.lists(
    st.one_of(
        st.tuples(st.just("ask"), _name),
        st.tuples(st.just("ask"), _name),
        st.tuples(st.just("ask"), _name),
        st.tuples(st.just("race"), _name),
        st.tuples(st.just("settle"), st.integers(0, 2)),
        st.tuples(st.just("isolate"), _name),
        st.tuples(st.just("heal"), _name),
        st.tuples(st.just("kill"), _name),
        st.tuples(st.just("start"), _name),
        st.tuples(st.just("wipe"), _name),
        st.tuples(st.just("replace"), _name),
        st.tuples(st.just("follow"), _name),
        st.tuples(st.just("store"), st.booleans()),
        st.tuples(st.just("lose"), st.integers(1, 2)),
    ),
    min_size=3,
    max_size=14,
)


class Story:
    """A sequence of events, and what programs have got in it."""

    def __init__(self, network: Network) -> None:
        self.network = network
        self.granted: list[tuple[str, str, str]] = []
        self.used: dict[str, int] = {}
        self.attempts = 0

    async def play(self, operations: list[tuple]) -> None:
        """Plays operations, and brings back whoever is down at the end."""
        for kind, argument in operations:
            await getattr(self, kind)(argument)

    async def ask(self, name: str, program: str = "p") -> None:
        """A turn asks at one storage instance."""
        self.attempts += 1
        attempt = f"attempt-{self.attempts}"
        reply = await self.network.reserve(
            name, Reserve(program, attempt, _TOKENS, _BUDGET)
        )
        if isinstance(reply, Reserved):
            self.used[program] = self.used.get(program, 0) + _TOKENS
            self.granted.append((name, program, attempt))

    async def race(self, name: str) -> None:
        """Turns of one program ask at two at the same moment."""
        other = _NAMES[_NAMES.index(name) - 1]
        await asyncio.gather(self.ask(name), self.ask(other))

    async def settle(self, number: int) -> None:
        """A turn has used half of what it might have."""
        if number >= len(self.granted):
            return
        name, program, attempt = self.granted[number]
        keeper = self.network.keepers.get(name)
        if keeper is None:
            return
        running = keeper.ledger.accounts.get(program)
        if running and attempt in running.running:
            await keeper.serve(Settle(program, attempt, _TOKENS // 2))
            self.used[program] -= _TOKENS // 2

    async def isolate(self, name: str) -> None:
        """One is cut off from the others."""
        self.network.cuts |= {
            frozenset((name, other))
            for other in (*_NAMES, "d")
            if other != name
        }

    async def heal(self, name: str) -> None:
        """All reach each other again."""
        self.network.cuts.clear()

    async def kill(self, name: str) -> None:
        """One is killed."""
        if name in self.network.keepers:
            await self.network.kill(name)

    async def start(self, name: str) -> None:
        """One that was killed comes back."""
        if name not in self.network.keepers and name in self.network.names:
            await self.network.start(name)

    async def wipe(self, name: str) -> None:
        """One loses its disk; as many as may be lost at once."""
        keepers = self.network.keepers
        all_run = len(keepers) == len(self.network.names)
        all_whole = all(k.whole for k in keepers.values())
        if name in keepers and all_run and all_whole:
            await self.network.wipe(name)
            await self.network.start(name)

    async def replace(self, name: str) -> None:
        """One is gone for good, and an empty one comes under a new name."""
        network = self.network
        if len(network.names) > len(_NAMES) or name not in network.keepers:
            return
        if not all(k.whole for k in network.keepers.values()):
            return
        if len(network.keepers) < len(network.names):
            return
        await network.wipe(name)
        network.names = [n for n in network.names if n != name] + ["d"]
        await network.start("d")
        # The others learn of it from the store, or when it follows them.
        for other, members in network.members.items():
            if other in network.keepers and not network.is_cut(other, name):
                network.introduce(members, "d")

    async def follow(self, name: str) -> None:
        """One takes in what the others have."""
        for each in (name, "d"):
            if each in self.network.keepers:
                await self.network.follow(each)

    async def store(self, away: bool) -> None:
        """The store goes away or comes back."""
        self.network.kv.away = away

    async def lose(self, count: int) -> None:
        """The next replies between storage instances get lost."""
        self.network.lose_replies = count


async def play(operations, prepare=lambda network: None):
    """Plays a story on new storage instances; returns tokens by program."""
    folder = tempfile.mkdtemp()
    network = Network(folder, list(_NAMES))
    await network.start_all()
    prepare(network)
    story = Story(network)
    try:
        await story.play(operations)
    finally:
        await network.stop_all()
        shutil.rmtree(folder)
    return story.used


@then(
    "no sequence of cuts, kills, lost disks and lost replies lets a program"
    " use more than its budget"
)
def step_any_story(context):
    @hypothesis.given(_OPERATIONS)
    @_SETTINGS
    def hold(operations):
        used = asyncio.run(play(operations))
        assert all(tokens <= _BUDGET for tokens in used.values()), used

    hold()


async def _open_alone(program, ledger, members, kv):
    return Consent()


@given("storage instances that open accounts without asking")
def step_naive(context):
    def open_alone(network):
        for keeper in network.keepers.values():
            keeper.may_open = _open_alone

    context.prepare = open_alone


@when('"a" and "b" are cut off from each other and a turn reaches both')
def step_naive_story(context):
    operations = [("isolate", "a"), ("ask", "a"), ("ask", "b")]
    context.used = asyncio.run(play(operations, context.prepare))


@then("the program uses more than its budget")
def step_over(context):
    assert context.used["p"] > _BUDGET, context.used


def network(context, work):
    """Runs a coroutine with the scenario's storage instances."""
    return context.loop.run_until_complete(work(context.network))


@given('storage instances "{names}"')
def step_instances(context, names):
    folder = tempfile.mkdtemp()
    context.loop = asyncio.new_event_loop()
    context.network = Network(folder, names.split(", "))
    network(context, lambda n: n.start_all())

    def clean():
        network(context, lambda n: n.stop_all())
        context.loop.close()
        shutil.rmtree(folder)

    context.scenario_stack.callback(clean)


@when('"{name}" is killed and the store is away')
def step_kill_store(context, name):
    context.network.kv.away = True
    network(context, lambda n: n.kill(name))


@when('"{name}" is cut off from "{others}" and the store is away')
def step_cut_off(context, name, others):
    context.network.kv.away = True
    for other in others.split(", "):
        context.network.cuts.add(frozenset((name, other)))


def ask(context, name, program, attempt="first", tokens=_TOKENS):
    asked = Reserve(program, attempt, tokens, _BUDGET)
    return network(context, lambda n: n.reserve(name, asked))


@then('a new program gets a permission at "{name}"')
@then('the same program gets a permission at "{name}"')
def step_permitted(context, name):
    reply = ask(context, name, "new")
    assert isinstance(reply, Reserved), reply


@then('a new program gets no permission at "{name}"')
def step_not_permitted(context, name):
    reply = ask(context, name, "new")
    assert isinstance(reply, Unsure), reply


@when('a program has used its budget at "{name}"')
def step_used_up(context, name):
    assert isinstance(ask(context, name, "old", "one", 20), Reserved)
    assert isinstance(ask(context, name, "old", "two", 40), Reserved)


@when('a program has a turn running at "{name}", whose account moves to "{to}"')
def step_move(context, name, to):
    assert isinstance(ask(context, name, "moved", "one"), Reserved)

    async def move(n):
        emptying = Emptying(
            n.keepers[name],
            n.members[name],
            None,
            n.kv,
            EmptyingOrders("", "", b"", b""),
        )
        for other in n.names:
            if other != to:
                n.members[name].known.pop(other, None)
        assert await emptying.hand_over()
        for other in n.names:
            n.introduce(n.members[name], other)

    network(context, move)


@when(
    'the turn\'s use of {tokens:d} tokens is told to "{name}" and'
    " where it sends"
)
def step_settle(context, tokens, name):
    said = Settle("moved", "one", tokens)
    network(context, lambda n: n.reserve(name, said))


@then('the program gets a permission for all its budget at "{name}"')
def step_all_budget(context, name):
    network(context, lambda n: n.follow(name))
    reply = ask(context, name, "moved", "two", _BUDGET)
    assert isinstance(reply, Reserved), reply


@when('"{name}" loses its disk and has followed the others')
def step_lose_disk(context, name):
    async def lose(n):
        await n.wipe(name)
        await n.start(name)
        assert not n.keepers[name].whole
        await n.follow(name)
        assert n.keepers[name].whole

    network(context, lose)


@when('"{name}" is killed and started again')
def step_restart(context, name):
    async def restart(n):
        await n.kill(name)
        await n.start(name)

    network(context, restart)


@when('"{name}" is killed')
def step_kill(context, name):
    network(context, lambda n: n.kill(name))


@then('"{name}" is whole')
def step_whole(context, name):
    assert context.network.keepers[name].whole


@then('the program is refused as not certain at "{name}"')
def step_unsure(context, name):
    reply = ask(context, name, "old", "three")
    assert isinstance(reply, Unsure), reply


@then('the program is refused as spent at "{name}"')
def step_spent(context, name):
    reply = ask(context, name, "old", "three", 1)
    assert isinstance(reply, Spent), reply


def keep(context, name, turn, previous="", text=b"text", seconds=60.0):
    kept = KeptTurn(turn, previous, text, wall_seconds() + seconds)
    network(context, lambda n: n.keepers[name].serve(Keep(kept)))


@when('"{name}" keeps a turn alone')
def step_keep(context, name):
    keep(context, name, "t1")


@when('"{name}" has followed the others')
def step_follow(context, name):
    network(context, lambda n: n.follow(name))


@then('"{name}" has the turn')
def step_has(context, name):
    assert "t1" in context.network.keepers[name].table.held


@when('"{name}" keeps a turn that expires at once and one that continues it')
def step_keep_chain(context, name):
    keep(context, name, "t1", seconds=-100.0)
    keep(context, name, "t2", "t1")


@when('"{name}" keeps them in the other order')
def step_keep_reversed(context, name):
    keep(context, name, "t2", "t1")
    keep(context, name, "t1", seconds=-100.0)


@when('"{name}" keeps {size:d} MB of turns that expire at once')
def step_keep_many(context, name, size):
    for number in range(size):
        text = bytes(1_000_000)
        keep(context, name, f"old-{number}", text=text, seconds=-100.0)


@when("the sweep has run")
def step_sweep(context):
    async def sweep(n):
        for keeper in n.keepers.values():
            keeper.sweep()

    network(context, sweep)


@then('"{name}" has both turns')
def step_has_both(context, name):
    assert {"t1", "t2"} <= set(context.network.keepers[name].table.held)


@then('the first segment of "{name}" is gone')
def step_segment_gone(context, name):
    segments = context.network.keepers[name].journal.segments()
    assert 1 not in segments, segments


_RECORDS = [b"one", b"", b"x" * 300, b"last"]


@then("a journal cut at any byte gives back a prefix of its records")
def step_cut_anywhere(context):
    content = b"".join(map(frame, _RECORDS))
    ends = [0]
    for record in _RECORDS:
        ends.append(ends[-1] + len(frame(record)))
    for garbage in (b"", bytes(40), b"\xff" * 40):
        for at in range(len(content) + 1):
            found = list(read_frames(content[:at] + garbage))
            whole = sum(end <= at for end in ends[1:])
            assert found == _RECORDS[:whole], (at, garbage, found)


@then("so it does with each byte of its last record changed")
def step_change_each(context):
    content = b"".join(map(frame, _RECORDS))
    start = len(content) - len(frame(_RECORDS[-1]))
    for at in range(start, len(content)):
        changed = bytearray(content)
        changed[at] ^= 0x55
        found = list(read_frames(bytes(changed)))
        assert found == _RECORDS[:-1], (at, found)


@when(
    "{count:d} ask a peer that does not listen, one after the other giving up"
)
def step_ask_silent(context, count):
    async def ask_all():
        link = RequestLink("127.0.0.1:9", codec())
        asks = [
            asyncio.create_task(link.ask(Ping(), 0.05 + number / 100))
            for number in range(count)
        ]
        done = await asyncio.gather(*asks, return_exceptions=True)
        link.close()
        return done

    context.replies = asyncio.run(ask_all())


@then("each learns that there is no reply")
def step_no_reply(context):
    assert context.replies and set(context.replies) == {None}, context.replies
