"""The promises, checked on a history. Each rule returns a list of what broke it, in words."""

from collections import defaultdict
from dataclasses import dataclass

from history import Call, History, PathCut

PROMISED_NOT_RUN = (408, 421, 429, 503)


@dataclass
class Bounds:
    """Bounds of the run, in seconds; `slack` is added where time on a busy machine counts."""

    contact: float = 3.0
    drain: float = 2.0
    apply: float = 2.0
    rollback: float = 0.25
    late: float = 0.5
    loss: float = 0.2
    stop: float = 5.4          # of a planned stop, until its process ends whatever is left
    retry_ratio: float = 0.2
    retry_extra: float = 20.0
    retry_window: float = 10.0
    more_sends: int = 3
    told: float = 1.0
    reaction: float = 0.5
    in_back_off: int = 2
    limit_span: float = 4.0
    limit_excess: float = 1.1
    limit_slack: float = 5.0
    path_share: float = 2 / 3
    path_failures: float = 10
    path_failure_share: float = 0.02
    slack: float = 0.3


def whole_own_answers(history: History, _: Bounds) -> list[str]:
    """A success is the whole answer that some server gave to this very request; a failure keeps its status."""
    given = defaultdict(list)
    for arrival in history.arrivals:
        given[arrival.signature].append(arrival)
    broken = []
    for call in history.calls:
        if call.answered_at is None or (call.status >= 300 and not call.signature):
            continue
        from_server = [arrival for arrival in given.get(call.signature, []) if arrival.id == call.id]
        if not call.signature or not from_server:
            broken.append(f"{call.id}: {call.status} with signature '{call.signature}' that is not its own")
        elif all(arrival.status != call.status for arrival in from_server):
            broken.append(f"{call.id}: {call.status}, but its server answered {from_server[0].status}")
        elif call.status < 300 and call.signature != sign(from_server[0].server, call.id, call.body):
            broken.append(f"{call.id}: a body that is not the server's whole body")
    return broken


def sign(server: str, request: str, body: bytes) -> str:
    """The signature of a server's answer."""
    return f"{server}.{request}.{len(body)}.{sum(body) % 65521}"


def at_most_once(history: History, _: Bounds) -> list[str]:
    """What may not be repeated runs once at most."""
    repeatable = {call.id: call.repeatable for call in history.calls}
    runs = defaultdict(int)
    for arrival in history.arrivals:
        runs[arrival.id] += 1 if arrival.executed else 0
    return [f"{request} ran {count} times" for request, count in runs.items()
            if count > 1 and not repeatable.get(request, True)]


def true_refusals(history: History, _: Bounds) -> list[str]:
    """What was refused as not run has not run and does not run later."""
    ran = {arrival.id for arrival in history.arrivals if arrival.executed}
    return [f"{call.id}: answered {call.status}, but it ran" for call in history.calls
            if not call.repeatable and call.status in PROMISED_NOT_RUN and call.id in ran]


def nothing_to_leaving_servers(history: History, bounds: Bounds) -> list[str]:
    """A server that drains gets nothing new from gateways in touch once the bound has passed."""
    leaving = {leave.server: leave.at for leave in history.leavings}
    calls = {call.id: call for call in history.calls}
    broken = []
    for arrival in history.arrivals:
        since = leaving.get(arrival.server)
        call = calls.get(arrival.id)
        if since is None or call is None or arrival.status == 421:
            continue
        late = arrival.at - since
        if late > bounds.drain + bounds.slack and \
                not history.disturbed(since - bounds.contact, arrival.at, call.gateway, arrival.server):
            broken.append(f"{arrival.id} reached {arrival.server} {late:.2f} s after it began to drain")
    return broken


def limited_servers(history: History, bounds: Bounds) -> list[str]:
    """A server that names a limit gets no more from all gateways in touch together; those told of it count."""
    calls = {call.id: call for call in history.calls}
    broken = []
    for limited in history.limited:
        first = limited.start + bounds.told + bounds.slack
        got = sorted(arrival.at for arrival in history.arrivals
                     if arrival.server == limited.server and first <= arrival.at <= limited.end and arrival.id in calls
                     and not history.disturbed(limited.start - bounds.contact, arrival.at, calls[arrival.id].gateway))
        allowed = bounds.limit_excess * limited.per_second * bounds.limit_span + bounds.limit_slack
        most = max((sum(at <= other < at + bounds.limit_span for other in got) for at in got), default=0)
        if most > allowed:
            broken.append(f"{limited.server} named {limited.per_second:.1f} a second and got {most} in "
                          f"{bounds.limit_span:.0f} s, {allowed:.1f} allowed")
    return broken


def leaving_by_answers(history: History, bounds: Bounds) -> list[str]:
    """A gateway that has passed on an answer which says that its server leaves soon sends nothing more there."""
    calls = {call.id: call for call in history.calls}
    answers = {arrival.signature: arrival for arrival in history.arrivals if arrival.leaving and arrival.signature}
    told: dict[tuple[str, int, int], float] = {}
    for call in history.calls:
        arrival = answers.get(call.signature) if call.answered_at is not None else None
        if arrival is not None:
            key = (arrival.server, call.gateway, call.life)
            told[key] = min(told.get(key, float("inf")), call.answered_at)
    broken = []
    for arrival in history.arrivals:
        call = calls.get(arrival.id)
        since = told.get((arrival.server, call.gateway, call.life)) if call is not None else None
        if since is None or arrival.status == 421 or call.sent_at <= since + bounds.drain + bounds.slack:
            continue
        if not history.frozen(since, arrival.at, call.gateway):
            broken.append(f"{arrival.id} reached {arrival.server} {arrival.at - since:.2f} s after gateway "
                          f"{call.gateway} had passed on that it leaves")
    return broken


def back_offs(history: History, bounds: Bounds) -> list[str]:
    """A server that turns a gateway away and asks for a back-off gets next to nothing from it until that is over."""
    calls = {call.id: call for call in history.calls}
    by_server = defaultdict(list)
    for arrival in history.arrivals:
        if arrival.id in calls:
            by_server[arrival.server].append((arrival.at, calls[arrival.id]))
    broken = []
    for arrival in history.arrivals:
        call = calls.get(arrival.id)
        if call is None or arrival.back_off == 0 or arrival.ended_at is None:
            continue
        start, end = arrival.ended_at + bounds.reaction + bounds.slack, arrival.ended_at + arrival.back_off
        got = sum(start < at <= end and (other.gateway, other.life) == (call.gateway, call.life)
                  for at, other in by_server[arrival.server])
        if got > bounds.in_back_off and not history.disturbed(arrival.at, end, call.gateway, arrival.server):
            broken.append(f"{arrival.server} asked gateway {call.gateway} for {arrival.back_off:.1f} s and got {got}")
    return broken


def configuration_in_force(history: History, bounds: Bounds) -> list[str]:
    """Gateways in touch follow a configuration within the bound and never go back within a life."""
    calls = {call.id: call for call in history.calls}
    numbers = defaultdict(list)
    for version in history.versions:
        numbers[version.service].append(version)
    seen: dict[tuple[int, int], tuple[int, float]] = {}
    broken = []
    for arrival in sorted(history.arrivals, key=lambda item: item.at):
        call = calls.get(arrival.id)
        if call is None or arrival.service not in numbers:
            continue
        known = [version for version in numbers[arrival.service] if version.at <= arrival.at]
        newest = max((version.number for version in known), default=0)
        due = [version for version in history.versions if version.at + bounds.apply + bounds.slack < call.sent_at]
        wanted = max((version.number for version in due), default=0)
        if newest < wanted:
            at = next(version.at for version in history.versions if version.number == wanted)
            if not history.disturbed(at - bounds.contact, arrival.at, call.gateway):
                broken.append(f"{call.id}: handled by version {newest}, {wanted} was due")
        life = (call.gateway, call.life)
        best, since = seen.get(life, (0, 0.0))
        if newest < best and call.sent_at > since + bounds.rollback + bounds.slack:
            broken.append(f"{call.id}: gateway {call.gateway} went back from version {best} to {newest}")
        if newest > best:
            seen[life] = (newest, arrival.at)
    return broken


def stops_cut_nothing(history: History, bounds: Bounds) -> list[str]:
    """A planned stop ends no connection under a request that was read, unless its answer needs more than the stop has."""
    arrived = {arrival.id for arrival in history.arrivals}
    stops = {(stop.gateway, stop.life): stop for stop in history.stops}
    broken = []
    for call in history.calls:
        stop = stops.get((call.gateway, call.life))
        if stop is None or call.closed_at is None or call.closed_at < stop.at or call.left_at is not None:
            continue
        passed_on = call.id in arrived
        late = call.closed_at - call.sent_at > bounds.loss + bounds.slack
        too_long = call.reading > 0 and call.sent_at + call.reading + bounds.slack > stop.at + bounds.stop
        # What the process has handed over is still read after its end, when it is about to be started again.
        end = min(call.closed_at, stop.ended_at)
        if (passed_on or late) and not too_long and \
                not history.disturbed(call.sent_at - bounds.contact, end, call.gateway):
            broken.append(f"{call.id}: cut {call.closed_at - stop.at:.2f} s after gateway {call.gateway} was to stop")
    return broken


def retry_budget(history: History, bounds: Bounds) -> list[str]:
    """Over all gateways, a service gets no more further arrivals in any window than its share and the extra."""
    first_seen = set()
    further = defaultdict(list)
    requests = defaultdict(list)
    for arrival in sorted(history.arrivals, key=lambda item: item.at):
        if (arrival.service, arrival.id) in first_seen:
            further[arrival.service].append(arrival.at)
        else:
            first_seen.add((arrival.service, arrival.id))
            requests[arrival.service].append(arrival.at)
    broken = []
    for service, times in further.items():
        for end in times:
            count = sum(end - bounds.retry_window < at <= end for at in times)
            spans = [(end - bounds.retry_window * back, end - bounds.retry_window * (back + 1)) for back in (0, 0.5, 1)]
            asked = max(sum(low < at <= high for at in requests[service]) for high, low in spans)
            if count > bounds.retry_ratio * asked + bounds.retry_extra:
                broken.append(f"{service}: {count} further arrivals for {asked} requests in a window")
                break
    return broken


def final_answers(history: History, bounds: Bounds) -> list[str]:
    """By its route's time-out each request has its final answer."""
    broken = []
    for call in history.calls:
        end = call.answered_at or call.closed_at or call.left_at
        due = call.sent_at + call.timeout + bounds.late + bounds.slack
        if end is not None and end <= due:
            continue
        if not history.disturbed(call.sent_at - bounds.contact, due, call.gateway):
            broken.append(f"{call.id}: no final answer {call.timeout + bounds.late:.1f} s after it was sent")
    return broken


def cancellation(history: History, bounds: Bounds) -> list[str]:
    """When a caller leaves, servers soon stop working on what may be repeated."""
    calls = {call.id: call for call in history.calls if call.left_at is not None and call.repeatable}
    broken = []
    for arrival in history.arrivals:
        call = calls.get(arrival.id)
        if call is None or call.left_at is None or not arrival.executed:
            continue
        end = arrival.ended_at or arrival.cut_at or float("inf")
        allowed = call.left_at + bounds.late + bounds.slack
        if end > allowed and arrival.at + arrival.work > allowed and \
                not history.disturbed(call.left_at - bounds.contact, allowed, call.gateway, arrival.server):
            broken.append(f"{call.id}: {arrival.server} worked on {bounds.late} s after its caller left")
    return broken


def ended_servers(history: History, bounds: Bounds) -> list[str]:
    """Gateways in touch send what has ended three servers to three more at the most, once that can be known."""
    calls = {call.id: call for call in history.calls}
    by_content = defaultdict(list)
    for arrival in sorted(history.arrivals, key=lambda item: item.at):
        if arrival.content:
            by_content[arrival.content].append(arrival)
    broken = []
    for content, arrivals in by_content.items():
        ends = sorted(arrival.ended_at for arrival in arrivals if arrival.ended_server and arrival.ended_at)
        if len(ends) < 3:
            continue
        late = [arrival for arrival in arrivals
                if arrival.at > ends[2] + bounds.contact + bounds.slack and arrival.id in calls and
                not history.disturbed(arrival.at - bounds.contact, arrival.at, calls[arrival.id].gateway)]
        if len(late) > bounds.more_sends:
            broken.append(f"{content}: sent to servers {len(late)} times after it had ended three, {len(ends)} in all")
    return broken


def first_tries(history: History, bounds: Bounds, cuts: list[PathCut]) -> tuple[list[Call], list[Call]]:
    """Calls sent while gateways had no path to servers, once they can know: those at these gateways, and the others."""
    start = max(cut.start for cut in cuts) + bounds.contact + bounds.slack
    end = min(cut.end for cut in cuts)
    cut_off = {cut.gateway for cut in cuts}
    sent = [call for call in history.calls if start <= call.sent_at and call.sent_at + call.timeout <= end and
            call.left_at is None and not history.disturbed(call.sent_at - bounds.contact, end, call.gateway)]
    return ([call for call in sent if call.gateway in cut_off], [call for call in sent if call.gateway not in cut_off])


def lost_paths(history: History, bounds: Bounds) -> list[str]:
    """Callers of gateways in touch that have lost their path to all servers are served nearly as the others are."""
    by_start = defaultdict(list)
    for cut in history.path_cuts:
        by_start[cut.start].append(cut)
    broken = []
    for start, cuts in by_start.items():
        if any(other.start < cut.end and cut.start < other.end and other.start != cut.start
               for cut in cuts for other in history.path_cuts):
            continue
        at_cut, elsewhere = first_tries(history, bounds, cuts)
        served = sum(call.status == 200 for call in at_cut)
        served_elsewhere = sum(call.status == 200 for call in elsewhere)
        failed = len(at_cut) - served
        most = bounds.path_failures + bounds.path_failure_share * (len(at_cut) + len(elsewhere))
        if at_cut and elsewhere and failed > most and \
                served / len(at_cut) < bounds.path_share * served_elsewhere / len(elsewhere):
            broken.append(f"gateways without a path to servers from {start:.1f} s served {served} of {len(at_cut)}, the "
                          f"others {served_elsewhere} of {len(elsewhere)}")
    return broken


def recovery(calls: list[Call]) -> list[str]:
    """Once all is well again, requests are served."""
    served = sum(call.status == 200 for call in calls)
    return [] if served >= 0.25 * len(calls) else [f"after all faults only {served} of {len(calls)} were served"]


RULES = {
    "whole-own-answer": whole_own_answers,
    "at-most-once": at_most_once,
    "true-refusal": true_refusals,
    "leaving-server": nothing_to_leaving_servers,
    "limited-server": limited_servers,
    "leaving-answer": leaving_by_answers,
    "back-off": back_offs,
    "configuration": configuration_in_force,
    "planned-stop": stops_cut_nothing,
    "retry-budget": retry_budget,
    "final-answer": final_answers,
    "cancellation": cancellation,
    "ended-servers": ended_servers,
    "lost-path": lost_paths,
}
