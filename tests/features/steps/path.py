"""Steps of the whole path."""

from behave import given, then, when


@given("a program")
def step_program(context):
    context.program = context.clients[0].create(workspace="leith")


@when('turn {turn:d} "{text}" is sent through instance {index:d}')
def step_turn(context, turn, text, index):
    context.previous = getattr(context, "answer", None)
    context.answer = context.clients[index].chat(text, context.program, turn)


@when('turn {turn:d} "{text}" is streamed through instance {index:d}')
def step_streamed_turn(context, turn, text, index):
    context.answer = context.clients[index].chat(
        text, context.program, turn, stream=True
    )


@when('a call without a program says "{text}"')
def step_loose(context, text):
    context.answer = context.clients[1].chat(text)


@when('the deposit "{key}" of "{body}" is sent through instance {index:d}')
def step_act(context, key, body, index):
    context.answer = context.clients[index].act(key, body, context.program)


@then("the answer has status {status:d}")
def step_status(context, status):
    assert context.answer.status == status, context.answer


@then("both answers are the same")
def step_same(context):
    assert context.answer.text == context.previous.text


@then("the stream is whole")
def step_whole(context):
    assert context.answer.events[-1] == "[DONE]", context.answer
    assert context.answer.text, context.answer


@then('the service ran "{key}" {count:d} time')
def step_runs(context, key, count):
    system = context.system
    runs = [
        system.standins[spec.name].request("GET", "/runs").json.get(key, 0)
        for spec in system.layout.services
    ]
    assert sum(runs) == count, runs


@then("the history has turns {turns}")
def step_history(context, turns):
    path = f"/v1/programs/{context.program}/history"
    for client in context.clients:
        answer = client.request("GET", path)
        found = ", ".join(str(t["turn"]) for t in answer.json["turns"])
        assert found == turns, answer
