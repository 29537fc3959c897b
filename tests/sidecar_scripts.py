"""Fake sidecars, and scripts for them, that several tests of a gateway use."""

from tests.fake_sidecar import Call, FakeSidecar, Script, echo
from trefoilpaddle.protocol.gen.stage.ttypes import Failure, Outcome
from trefoilpaddle.protocol.reasons import Reason


def sidecar(
    script: Script = echo, *, service: str = "s", name: str = "t1"
) -> FakeSidecar:
    return FakeSidecar(service=service, name=name, script=script)


async def never_answer(call: Call) -> None:
    call.started()


def refuse(reason: Reason, outcome: int = Outcome.NOT_RUN) -> Script:
    async def script(call: Call) -> None:
        if outcome != Outcome.NOT_RUN:
            call.started()
        call.send(
            Failure(
                attempt_id=call.start.attempt_id,
                outcome=outcome,
                reason=int(reason),
                step="call",
                peer=call.sidecar.name,
                load=call.sidecar.load(),
            )
        )

    return script
