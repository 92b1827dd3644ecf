"""Compares the system with the naive version."""

import concurrent.futures
import time

from behave import given, then
from hypothesis import Phase, settings
from hypothesis import given as given_any
from hypothesis import strategies as st

from support import EngineSpec, Layout, naive, start, wait_until
from support.stack import random_text

_LAYOUT = Layout(
    domains=("alajuela-c",),
    per_domain=3,
    engines=[EngineSpec("engine-1", options={"decode": 4000.0})],
    lease_seconds=1.0,
)
_EXAMPLES = settings(
    max_examples=6,
    derandomize=True,
    deadline=None,
    database=None,
    phases=(Phase.generate,),
    report_multiple_bugs=False,
)
_BUDGET = 50_000
_CHILD = 4_000
_TOKENS = 8
_TRIES = 100
_PAUSE_SECONDS = 0.1

_who = st.integers(0, 3)
_turn = st.tuples(
    st.just("turn"),
    _who,
    st.sampled_from(["next"] * 5 + ["repeat", "repeat", "gap", "conflict"]),
    st.booleans(),
)
_act = st.tuples(
    st.just("act"),
    _who,
    st.sampled_from(["k1", "k2", "k3"]),
    st.sampled_from(["20"] * 4 + ["30"]),
)
_steps = st.lists(
    st.one_of(
        _turn,
        _turn,
        _turn,
        _act,
        _act,
        st.tuples(st.just("child"), _who),
        st.tuples(st.just("end"), _who),
        st.tuples(st.just("kill"), _who),
        st.tuples(st.just("kill_in_turn"), _who),
        st.tuples(st.just("kill_in_act"), _who),
        st.tuples(st.just("store"), st.booleans()),
        st.tuples(st.just("lose_answer")),
    ),
    min_size=12,
    max_size=24,
)


class Pair:
    """A program of the system and the same in the naive version.

    Attributes:
        exact: Whether its budget must agree to the token.
    """

    def __init__(self, real, model):
        self.real = real
        self.model = model
        self.receipts = []
        self.exact = True


class Run:
    """One sequence, run on both."""

    def __init__(self, context):
        self.context = context
        self.system = context.system
        self.kv = self.system.standins["kv"]
        self.office = self.system.standins["office-1"]
        self.tag = random_text(4)
        self.store_up = False
        self.heal()
        self.office.faults(lose_answers=0)
        self.lost = 0
        self.pairs = []
        self.trace = []
        # Acts whose outcome the promise allows to be unknown: their answer
        # was lost, or their owner died, or the store was away.
        self.doubtful = set()
        self.outcomes = {}
        self.turns = 0
        self.clients = 0
        for _ in range(2):
            self.make(None)

    def client(self):
        """Returns a living instance, another each time."""
        self.clients += 1
        living = [i for i in self.system.instances if i.process.alive]
        return living[self.clients % len(living)].client

    def heal(self):
        """Ends outages and starts what has died, as a platform would."""
        if not self.store_up:
            self.kv.faults(down=False)
            self.store_up = True
        for instance in self.system.instances:
            if not instance.process.alive:
                self.system.start_instance(instance)

    def until_answered(self, send):
        """Sends a call until it is not told to come back."""
        for _ in range(_TRIES):
            answer = send()
            if answer.status == 0 and b"refused" in answer.body:
                # It is starting; a balancer would try another.
                time.sleep(_PAUSE_SECONDS)
                continue
            if answer.status < 400 or "retry-after" not in answer.headers:
                return answer
            self.heal()
            time.sleep(_PAUSE_SECONDS)
        raise AssertionError(f"never answered: {answer} {self.trace}")

    def check(self, held, seen):
        """Fails with the sequence of steps that led there."""
        assert held, f"{seen}\n{self.trace}"

    def make(self, parent):
        """Makes a program in both."""
        body = {"budget": {"tokens": _CHILD if parent else _BUDGET}}
        if parent:
            body["parent"] = parent.real
        answer = self.until_answered(
            lambda: self.client().request("POST", "/v1/programs", body)
        )
        model = naive.create(
            body["budget"]["tokens"], parent.model if parent else None
        )
        self.compare_refusal(answer, model)
        if answer.status == 201:
            self.pairs.append(Pair(answer.json["program"], model))

    def compare_refusal(self, answer, model):
        """Compares whether and why both refuse."""
        reason = answer.json["reason"] if answer.status >= 400 else ""
        wanted = model.reason if isinstance(model, naive.Refused) else ""
        self.check(reason == wanted, (answer, model))

    def chat(self, pair, number, text, stream):
        """Sends a turn with the receipts that the caller holds."""
        extra = {"rattanmill_receipts": pair.receipts} if pair.receipts else {}
        answer = self.client().chat(
            text,
            pair.real,
            number,
            stream=stream,
            max_tokens=_TOKENS,
            standin={"output_tokens": _TOKENS},
            **extra,
        )
        if answer.status == 200:
            last = answer.events[-2] if stream else answer.json
            receipt = last["rattanmill"].get("receipt")
            if receipt:
                pair.receipts.append(receipt)
        return answer

    def turn(self, who, which, stream):
        """Sends the next turn, a repeat, a gap or a conflict."""
        pair = self.pairs[who % len(self.pairs)]
        known = len(pair.model.turns)
        self.turns += 1
        text = f"text {self.turns}"
        number = {"next": 1, "gap": 2}.get(which, 0) + known
        if which == "repeat" and known:
            text = pair.model.turns[-1][0]
        if not number:
            return
        self.compare_turn(pair, number, text, stream)

    def compare_turn(self, pair, number, text, stream=False):
        """Sends a turn until it is answered and compares."""
        answer = self.until_answered(
            lambda: self.chat(pair, number, text, stream)
        )
        model = naive.turn(pair.model, number, text, _TOKENS)
        self.compare_refusal(answer, model)
        if isinstance(model, naive.Said):
            self.check(answer.text == model.text, (answer, model))

    def act(self, who, key, body):
        """Sends an act until it is answered and compares."""
        pair = self.pairs[who % len(self.pairs)]
        self.file(pair)
        name = f"{self.tag}-{who % len(self.pairs)}-{key}"
        if self.lost or not self.store_up:
            self.doubtful.add(name)

        def send():
            answer = self.client().act(name, body, pair.real)
            # An intent whose commit was given up may be found by a next
            # owner, which must not tell it from one that was sent.
            if "retry-after" in answer.headers:
                self.doubtful.add(name)
                self.trace.append(f"act put off: {answer.json['reason']}")
            return answer

        answer = self.until_answered(send)
        self.lost = self.office.request("GET", "/faults").json["lose_answers"]
        if answer.status == 409 and answer.json["reason"] == "act_unknown":
            self.check(name in self.doubtful, (answer, "not doubtful"))
            pair.model.acts.setdefault(key, body)
            self.outcomes[name] = "unknown"
            return
        model = naive.act(pair.model, key, body)
        self.compare_refusal(answer, model)
        if isinstance(model, naive.Said):
            self.check(answer.json["body"] == body, (answer, model))
            self.check(answer.json["run"] == 1, answer)
            self.outcomes[name] = "ran"

    def file(self, pair):
        """Brings receipts back before anything that is not a turn."""
        if pair.receipts and not pair.model.ended:
            number = len(pair.model.turns)
            self.compare_turn(pair, number, pair.model.turns[-1][0])

    def child(self, who):
        """Makes a sub-agent."""
        pair = self.pairs[who % len(self.pairs)]
        self.file(pair)
        if pair.model.tokens == _BUDGET and len(self.pairs) < 4:
            self.make(pair)

    def end(self, who):
        """Ends a program."""
        pair = self.pairs[who % len(self.pairs)]
        self.file(pair)
        answer = self.until_answered(
            lambda: self.client().request("DELETE", f"/v1/programs/{pair.real}")
        )
        self.check(answer.status == 200, answer)
        naive.end(pair.model)

    def owner(self, pair):
        """Returns the owner of a program."""
        self.heal()
        return self.system.owner_of(pair.real)

    def note_death(self):
        """After a takeover, what was reserved counts as spent."""
        for pair in self.pairs:
            pair.exact = False
        for name, outcome in self.outcomes.items():
            if name in self.doubtful and outcome == "ran":
                self.outcomes[name] = "ran once"

    def kill(self, who):
        """Kills the owner of a program."""
        pair = self.pairs[who % len(self.pairs)]
        down = not self.store_up
        owner = self.owner(pair)
        if down:
            self.store(False)
        owner.process.kill()
        self.note_death()

    def kill_in_turn(self, who):
        """Kills the owner while the engine works for it."""
        pair = self.pairs[who % len(self.pairs)]
        if pair.model.ended:
            return
        owner = self.owner(pair)
        self.turns += 1
        text = f"text {self.turns}"
        number = len(pair.model.turns) + 1
        other = next(
            i
            for i in self.system.instances
            if i.process.alive and i.name != owner.name
        )
        engine = self.system.standins["engine-1"]
        before = engine.stats().get("calls", 0)
        engine.faults(slow_factor=20.0)
        call = self.context.pool.submit(
            other.client.chat,
            text,
            pair.real,
            number,
            max_tokens=_TOKENS,
            standin={"output_tokens": _TOKENS},
            rattanmill_receipts=pair.receipts,
        )
        wait_until(
            lambda: engine.stats().get("calls", 0) > before or call.done(),
            "the call runs",
        )
        owner.process.kill()
        engine.faults(slow_factor=1.0)
        call.result()
        self.note_death()
        self.compare_turn(pair, number, text)

    def kill_in_act(self, who):
        """Kills the owner while the service works for it."""
        pair = self.pairs[who % len(self.pairs)]
        key = f"killed-{len(self.trace)}"
        if pair.model.ended:
            return
        self.file(pair)
        owner = self.owner(pair)
        name = f"{self.tag}-{who % len(self.pairs)}-{key}"
        self.doubtful.add(name)
        other = next(
            i
            for i in self.system.instances
            if i.process.alive and i.name != owner.name
        )
        self.office.faults(slow_seconds=1.0)
        call = self.context.pool.submit(other.client.act, name, "20", pair.real)
        wait_until(
            lambda: (
                name in self.office.request("GET", "/runs").json or call.done()
            ),
            "the act runs",
        )
        owner.process.kill()
        self.office.faults(slow_seconds=0.0)
        call.result()
        self.note_death()
        self.act(who, key, "20")

    def store(self, up):
        """Takes the key-value service away or brings it back."""
        self.kv.faults(down=not up)
        self.store_up = up

    def lose_answer(self):
        """Loses the service's next answer."""
        self.office.faults(lose_answers=1)
        self.lost = 1

    def step(self, step):
        """Runs one step."""
        self.trace.append(step)
        name, *arguments = step
        getattr(self, name)(*arguments)

    def finish(self):
        """Compares all that has been kept."""
        self.heal()
        self.office.faults(lose_answers=0)
        for pair in self.pairs:
            self.file(pair)
        for pair in self.pairs:
            self.compare_history(pair)
            self.compare_budget(pair)
        runs = self.office.request("GET", "/runs").json
        for name, outcome in self.outcomes.items():
            ran = runs.get(name, 0)
            allowed = (0, 1) if outcome == "unknown" else (1,)
            self.check(ran in allowed, (name, outcome, ran))

    def compare_history(self, pair):
        """Compares the kept conversation."""
        path = f"/v1/programs/{pair.real}/history"
        answer = self.until_answered(lambda: self.client().request("GET", path))
        found = [
            {"role": m["role"], "content": m["content"]}
            for m in answer.json["messages"]
        ]
        self.check(found == pair.model.messages, (found, pair.model.messages))

    def compare_budget(self, pair):
        """Compares what was spent."""
        path = f"/v1/programs/{pair.real}"
        state = self.until_answered(
            lambda: self.client().request("GET", path)
        ).json
        spent, wanted = state["spent_tokens"], pair.model.spent
        self.check(spent <= pair.model.tokens, state)
        exact = spent == wanted if pair.exact else spent >= wanted
        self.check(exact, (state, wanted))


@given("a system to be compared")
def step_system(context):
    start(context, _LAYOUT)
    context.pool = context.scenario_stack.enter_context(
        concurrent.futures.ThreadPoolExecutor(2)
    )


@then("any sequence of calls and failures gives what the naive version gives")
def step_compare(context):
    context.seen = []

    @_EXAMPLES
    @given_any(_steps)
    def check(steps):
        """Fails with the sequence of steps that led there."""
        run = Run(context)
        for step in steps:
            run.step(step)
        run.finish()
        context.seen += [name for name, *_ in steps]

    check()
    # A generator that never makes a kind of step would compare nothing.
    kinds = {
        "turn",
        "act",
        "child",
        "end",
        "kill",
        "kill_in_turn",
        "kill_in_act",
    }
    kinds.add("store")
    assert kinds <= set(context.seen), context.seen
