"""A caller: plain HTTP by the standard library, independent of the product."""

import http.client
import json
from typing import Any

import msgspec


class Answer(msgspec.Struct):
    """An HTTP answer.

    Attributes:
        status: HTTP status, or 0 if the connection broke.
        headers: Header fields, names in lower case.
        body: Body as bytes.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> Any:
        """The body as JSON."""
        return json.loads(self.body)

    @property
    def events(self) -> list[Any]:
        """Data of each server-sent event; ``[DONE]`` as text."""
        data = [
            line[5:].strip().decode()
            for line in self.body.split(b"\n")
            if line.startswith(b"data:")
        ]
        return [d if d == "[DONE]" else json.loads(d) for d in data]

    @property
    def text(self) -> str:
        """Text of a chat answer in either form."""
        if not self.body.startswith(b"data:"):
            return self.json["choices"][0]["message"]["content"]
        return "".join(
            event["choices"][0]["delta"].get("content") or ""
            for event in self.events
            if isinstance(event, dict) and event.get("choices")
        )


class Client:
    """Talks to one address.

    Args:
        address: ``IP:PORT``.
        seconds: Longest time an answer may take.
    """

    def __init__(self, address: str, seconds: float = 60.0) -> None:
        self.address = address
        self.seconds = seconds

    def request(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Sends a request; a body that is not bytes is sent as JSON."""
        data = body
        if body is not None and not isinstance(body, bytes):
            data = json.dumps(body).encode()
        connection = http.client.HTTPConnection(
            self.address, timeout=self.seconds
        )
        try:
            connection.request(method, path, data, headers or {})
            answer = connection.getresponse()
            content = answer.read()
            found = {k.lower(): v for k, v in answer.getheaders()}
            return Answer(answer.status, found, content)
        except (OSError, http.client.HTTPException) as error:
            return Answer(0, {}, str(error).encode())
        finally:
            connection.close()

    def create(self, **fields: Any) -> str:
        """Makes a program and returns its id."""
        answer = self.request("POST", "/v1/programs", fields)
        assert answer.status == 201, answer
        return answer.json["program"]

    def chat(
        self,
        text: str,
        program: str = "",
        turn: int = 0,
        *,
        stream: bool = False,
        append: bool = True,
        messages: list[dict] | None = None,
        headers: dict[str, str] | None = None,
        **fields: Any,
    ) -> Answer:
        """Makes a chat call, as a turn of a program if one is given."""
        sent = {"Content-Type": "application/json", **(headers or {})}
        if program:
            sent["Rattanmill-Program"] = program
            sent["Rattanmill-History"] = "append" if append else "whole"
        if turn:
            sent["Rattanmill-Turn"] = str(turn)
        body = {
            "model": "commentary",
            "messages": messages or [{"role": "user", "content": text}],
            "stream": stream,
            "max_tokens": 32,
            **fields,
        }
        return self.request("POST", "/v1/chat/completions", body, sent)

    def act(
        self,
        key: str,
        body: str = "deposit",
        program: str = "",
        path: str = "/v1/services/index-office/deposits",
        method: str = "POST",
    ) -> Answer:
        """Makes a non-idempotent call of a plain service."""
        headers = {
            "Idempotency-Key": key,
            "Rattanmill-Non-Idempotent": "true",
        }
        if program:
            headers["Rattanmill-Program"] = program
        return self.request(method, path, body.encode(), headers)

    def faults(self, **faults: Any) -> None:
        """Sets faults of a stand-in."""
        answer = self.request("POST", "/faults", faults)
        assert answer.status == 200, answer

    def stats(self) -> dict[str, int]:
        """Returns what a stand-in counted."""
        return self.request("GET", "/stats").json

    def metric(self, name: str, **labels: str) -> float:
        """Returns the sum of an instance's counter over matching labels."""
        text = self.request("GET", "/metrics").body.decode()
        total = 0.0
        for line in text.splitlines():
            if not line.startswith(name):
                continue
            if all(f'{k}="{v}"' in line for k, v in labels.items()):
                total += float(line.rsplit(" ", 1)[1])
        return total
