"""Steps of planned stops, failures and recoveries, decided from the fleet document.

Every step is decided and applied in one compare-and-swap of the fleet document, so a
planner that is killed, paused or races with another leaves no step incomplete.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator, Mapping, Sequence
from typing import Any, NamedTuple

from briarshed.budgets import (
    STOPPING_STATES,
    Outages,
    count_outages,
    has_budget,
    list_exceeded_pools,
)
from briarshed.charts import advance, load_chart
from briarshed.documents import Change, Configuration, Fleet, Instance, Wave

CHART = load_chart("lifecycle")

FAILURES_TO_FAIL = 3
"""Consecutive failed health checks after which an instance counts as failed."""

PASSES_TO_RECOVER = 3
"""Consecutive passed health checks after which a failed instance returns."""

FAILED_RETURNS_TO_HALT = 2
"""Consecutive failed returns after which a wave halts."""

RETURN_GRACE_S = 30.0
"""Time for an endpoint to open its port after the platform reports it live."""

DRAIN_LIMIT_S = 300.0
"""Time after which a drain counts as failed: five times the default task lease."""

REBOOT_LIMIT_S = 600.0
"""Time within which a rebooting instance must be live again."""


class Observation(NamedTuple):
    """What this entry observed of one instance.

    Attributes
    ----------
    state, since : str, float
        Fields of the instance when it was observed. If the instance has changed its
        state since then, the observation is ignored.
    time_in_state_s : float
        Seconds of the local clock for which this entry has observed this state.
    platform_state : str
        State reported by the platform: live, draining, drained, rebooting or missing;
        empty if it is not known.
    passes, failures : int
        Consecutive health checks with that result; both 0 if this entry does not check
        the instance. For a data centre without a live entry, the planner counts how
        often the platform reports the instance as live or missing instead.
    confirmed : bool
        Whether every member either knows that the instance is leaving or has certainly
        lost its own authority to start jobs.
    """

    state: str
    since: float
    time_in_state_s: float = 0.0
    platform_state: str = ""
    passes: int = 0
    failures: int = 0
    confirmed: bool = False


class PlanningContext(NamedTuple):
    """Role, authority and settings of this entry in a planning round.

    Attributes
    ----------
    is_planner : bool
        Whether it plans for the fleet; other entries only record health.
    may_stop : bool
        Whether it has the authority to start a stop.
    slow_start_s : float
        Duration of the slow start of a returning instance in seconds.
    """

    is_planner: bool
    may_stop: bool
    slow_start_s: float = 10.0


class Step(NamedTuple):
    """One transition of one instance, by an event of ``lifecycle.json``."""

    instance: str
    state_before: str
    event: str
    reason: str = ""
    wave: str | None = None
    target_pool: str | None = None


class Move(NamedTuple):
    """A proposed move of an instance to another pool."""

    instance: str
    source_pool: str
    target_pool: str


class PlatformCall(NamedTuple):
    """An idempotent call to the platform, identified by its operation id.

    ``kind`` is ``drain`` or ``reboot``.
    """

    instance: str
    kind: str
    operation: str


class ChangeInfo(NamedTuple):
    """Id, Unix time and author of a change."""

    id: str
    at: float
    who: str


Observations = Mapping[str, Observation]
Rack = tuple[str, str]
"""Data centre and name of a rack."""


def decide_steps(
    configuration: Configuration,
    fleet: Fleet,
    observations: Observations,
    context: PlanningContext,
    moves: Sequence[Move] = (),
) -> list[Step]:
    """Return the steps that are due; no planned stop among them exceeds a budget."""
    steps = list(_list_observed_steps(configuration, fleet, observations, context))
    if context.is_planner and context.may_stop:
        changed = {step.instance for step in steps}
        steps += _list_stops(configuration, fleet, moves, changed)
    return steps


def _list_observed_steps(
    configuration: Configuration,
    fleet: Fleet,
    observations: Observations,
    context: PlanningContext,
) -> Iterator[Step]:
    outages = count_outages(fleet)
    for name, instance in fleet["instances"].items():
        observation = observations.get(name)
        if observation is not None and not _is_current(observation, instance):
            observation = None
        exceeded: Collection[str] = ()
        if context.is_planner and instance["state"] == "leaving":
            counts = outages.select(fleet, instance)
            exceeded = list_exceeded_pools(configuration, counts)
        event, reason = _find_event(instance, observation, context, exceeded)
        if event:
            yield Step(name, instance["state"], event, reason, instance["wave"])


def _is_current(observation: Observation, instance: Instance) -> bool:
    return (observation.state, observation.since) == (
        instance["state"],
        instance["since"],
    )


def _find_event(
    instance: Instance,
    observation: Observation | None,
    context: PlanningContext,
    exceeded: Collection[str],
) -> tuple[str, str]:
    state = instance["state"]
    failures = 0 if observation is None else observation.failures
    if state in ("serving", "leaving") and failures >= FAILURES_TO_FAIL:
        return "fail", f"{failures} consecutive health checks failed"
    if state == "leaving" and not {
        instance["pool"],
        instance["target_pool"],
    }.isdisjoint(exceeded):
        return "keep", "its pool's availability budget is exceeded"
    if observation is None:
        return "", ""
    if state == "returning":
        return _find_event_while_returning(observation, context)
    if state == "failed" and observation.passes >= PASSES_TO_RECOVER:
        recovers = observation.platform_state in ("", "live")
        return ("recover", "it answers its health check") if recovers else ("", "")
    return _find_planner_event(state, observation) if context.is_planner else ("", "")


def _find_event_while_returning(
    observation: Observation, context: PlanningContext
) -> tuple[str, str]:
    if (
        observation.failures >= FAILURES_TO_FAIL
        and observation.time_in_state_s >= RETURN_GRACE_S
    ):
        return "fail", "it did not answer its health check after the reboot"
    if observation.passes and observation.time_in_state_s >= context.slow_start_s:
        return "serve", "it answers its health check"
    return "", ""


def _find_planner_event(state: str, observation: Observation) -> tuple[str, str]:
    if state == "leaving" and observation.confirmed:
        return "drain", "every member knows that it leaves"
    if state == "draining":
        if observation.platform_state in ("drained", "rebooting"):
            return "reboot", "it is drained"
        if observation.time_in_state_s >= DRAIN_LIMIT_S:
            return "fail", f"it did not drain within {DRAIN_LIMIT_S:.0f} s"
    if state == "rebooting":
        if observation.platform_state == "live":
            return "boot", "the platform reports it live"
        if observation.time_in_state_s >= REBOOT_LIMIT_S:
            return "fail", f"it did not reboot within {REBOOT_LIMIT_S:.0f} s"
    return "", ""


def _list_stops(
    configuration: Configuration,
    fleet: Fleet,
    moves: Sequence[Move],
    changed: set[str],
) -> Iterator[Step]:
    outages = _count_outages_after_steps(fleet, changed)
    racks = _list_stopped_racks(fleet, changed)
    stoppable = {
        name
        for name, instance in fleet["instances"].items()
        if instance["state"] == "serving" and name not in changed
    }

    def reserve(instance: Instance, target_pool: str | None = None) -> bool:
        pools = {instance["pool"]: outages.select(fleet, instance)}
        if target_pool is not None:
            pools[target_pool] = outages.unavailable
        if not all(
            has_budget(configuration, counts.get(pool, 0), pool)
            for pool, counts in pools.items()
        ):
            return False
        for pool in pools:
            outages.add(fleet, instance, pool)
        return True

    for wave_name, name in _list_pending(fleet):
        if name not in stoppable:
            continue
        instance = fleet["instances"][name]
        pool, rack = instance["pool"], _find_rack(instance)
        if racks.get(pool, set()) <= {rack} and reserve(instance):
            racks[pool] = {rack}
            stoppable.discard(name)
            yield Step(name, "serving", "leave", f"wave {wave_name}", wave_name)
    for move in moves:
        name = move.instance
        if (
            name not in stoppable
            or fleet["instances"][name]["pool"] != move.source_pool
        ):
            continue
        if move.source_pool != move.target_pool and reserve(
            fleet["instances"][name], move.target_pool
        ):
            stoppable.discard(name)
            reason = f"move to pool {move.target_pool}"
            yield Step(name, "serving", "leave", reason, target_pool=move.target_pool)


def _count_outages_after_steps(fleet: Fleet, changed: set[str]) -> Outages:
    """Count instances that do not serve, including those that fail in this round."""
    outages = count_outages(fleet)
    for name in changed:
        instance = fleet["instances"][name]
        if instance["state"] == "serving":
            outages.add(fleet, instance, instance["pool"])
    return outages


def _list_stopped_racks(fleet: Fleet, changed: set[str]) -> dict[str, set[Rack]]:
    """Return the racks in which waves have instances out of service, by pool.

    This includes the rack of a failed instance that recovers in this round.
    """
    racks: dict[str, set[Rack]] = {}
    for name, instance in fleet["instances"].items():
        stopped = instance["state"] in STOPPING_STATES or name in changed
        if instance["wave"] is not None and stopped:
            racks.setdefault(instance["pool"], set()).add(_find_rack(instance))
    return racks


def _find_rack(instance: Instance) -> Rack:
    return instance["data_centre"], instance["rack"]


def _list_pending(fleet: Fleet) -> Iterator[tuple[str, str]]:
    for name, wave in sorted(fleet["waves"].items()):
        if wave["state"] == "running":
            for instance in wave["pending"]:
                yield name, instance


def apply_steps(fleet: Fleet, steps: Sequence[Step], info: ChangeInfo) -> Fleet:
    """Return the fleet after the steps, with the change in its audit trail.

    Raises
    ------
    ChartError
        If ``lifecycle.json`` does not have one of the transitions.
    """
    instances = dict(fleet["instances"])
    waves = {name: _copy_wave(wave) for name, wave in fleet["waves"].items()}
    for step in steps:
        before = instances[step.instance]
        instances[step.instance] = _advance_instance(before, step, info)
        _update_wave(waves, instances, step, before["state"])
    _finish_waves(waves, instances)
    after: Any = {**fleet, "instances": instances, "waves": waves}
    return _append_change(fleet, after, steps, info)


def _copy_wave(wave: Wave) -> Wave:
    return {**wave, "pending": list(wave["pending"]), "done": list(wave["done"])}


def _advance_instance(before: Instance, step: Step, info: ChangeInfo) -> Instance:
    state: Any = advance(CHART, before["state"], step.event)
    after: Instance = {**before, "state": state, "since": info.at}
    match step.event:
        case "leave":
            after["wave"] = step.wave
            after["target_pool"] = step.target_pool
        case "keep" | "serve":
            after["wave"] = after["target_pool"] = after["operation"] = None
        case "drain":
            after["operation"] = f"{info.id}.{step.instance}"
        case "boot":
            after["pool"] = before["target_pool"] or before["pool"]
            after["target_pool"] = None
        case "fail":
            after["target_pool"] = None
            # Only a failure during or after the reboot counts towards halting a wave.
            if before["state"] not in ("rebooting", "returning"):
                after["wave"] = None
    return after


def _update_wave(
    waves: dict[str, Wave], instances: Mapping[str, Instance], step: Step, before: str
) -> None:
    wave = waves.get(step.wave or "")
    if wave is None:
        return
    name = step.instance
    if name in wave["pending"]:
        wave["pending"].remove(name)
    if step.event == "keep" or (step.event == "fail" and before == "leaving"):
        # An instance that kept serving or failed before its drain stays pending. One
        # that failed later counts as done.
        wave["pending"].insert(0, name)
    if step.event == "serve" or (step.event == "fail" and before != "leaving"):
        if name in wave["done"]:
            wave["done"].remove(name)
        wave["done"].append(name)
    if step.event == "fail" and before in ("rebooting", "returning"):
        _halt_if_due(wave, step.wave or "", instances)


def _halt_if_due(wave: Wave, wave_name: str, instances: Mapping[str, Instance]) -> None:
    last = wave["done"][-FAILED_RETURNS_TO_HALT:]
    failed = [
        done
        for done in last
        if done in instances
        and instances[done]["state"] == "failed"
        and instances[done]["wave"] == wave_name
    ]
    if len(failed) == FAILED_RETURNS_TO_HALT and wave["state"] == "running":
        wave["state"] = "halted"
        wave["reason"] = f"{' and '.join(failed)} failed to return"


def _finish_waves(waves: dict[str, Wave], instances: Mapping[str, Instance]) -> None:
    open_waves = {
        instance["wave"]
        for instance in instances.values()
        if instance["state"] in STOPPING_STATES
    }
    for name, wave in waves.items():
        if wave["state"] != "running":
            continue
        wave["pending"] = [
            item
            for item in wave["pending"]
            if item in instances and instances[item]["state"] != "gone"
        ]
        if not wave["pending"] and name not in open_waves:
            wave["state"] = "done"


def has_finished_wave(fleet: Fleet) -> bool:
    """Return whether any running wave is complete."""
    running = {
        name: _copy_wave(wave)
        for name, wave in fleet["waves"].items()
        if wave["state"] == "running"
    }
    _finish_waves(running, fleet["instances"])
    return any(wave["state"] != "running" for wave in running.values())


def _append_change(
    before: Fleet, after: Fleet, steps: Sequence[Step], info: ChangeInfo
) -> Fleet:
    version = before["version"] + 1
    names = sorted({step.instance for step in steps})
    what = "; ".join(f"{s.event} {s.instance}: {s.reason}" for s in steps)
    change: Change = {
        "id": info.id,
        "version": version,
        "at": info.at,
        "who": info.who,
        "what": what or "finish waves",
        "before": {name: _summarize(before, name) for name in names},
        "after": {name: _summarize(after, name) for name in names},
    }
    return {**after, "version": version, "changes": [*before["changes"], change]}


def _summarize(fleet: Fleet, name: str) -> list[str]:
    instance = fleet["instances"][name]
    return [instance["pool"], instance["state"]]


def list_platform_calls(fleet: Fleet, observations: Observations) -> list[PlatformCall]:
    """Return the platform calls that the recorded states require."""
    calls = []
    for name, instance in fleet["instances"].items():
        observation = observations.get(name)
        if instance["operation"] is None or observation is None:
            continue
        if _is_current(observation, instance):
            kind = _find_call_kind(instance["state"], observation.platform_state)
            if kind:
                calls.append(
                    PlatformCall(name, kind, f"{instance['operation']}.{kind}")
                )
    return calls


def _find_call_kind(state: str, platform_state: str) -> str:
    # The call is also made while the platform's state is unknown. It is idempotent, and
    # this saves a planning round.
    if state == "draining" and platform_state in ("live", ""):
        return "drain"
    if state == "rebooting" and platform_state in ("drained", ""):
        return "reboot"
    # A failed instance that is drained can only return after a reboot.
    if state == "failed" and platform_state == "drained":
        return "reboot"
    return ""
