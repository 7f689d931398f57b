"""Each rule is shown to catch a fault made by hand, and to pass a history without it."""

import unittest

import rules
from history import Arrival, Call, History, Leaving, Limited, PathCut, Span, Stop, Version

BOUNDS = rules.Bounds(slack=0.0)


def call(request="r1", repeatable=False, **more):
    values = {"id": request, "gateway": 0, "life": 1, "path": "/pay/1", "repeatable": repeatable, "sent_at": 10.0,
              "timeout": 1.0, "answered_at": 10.1, "status": 200, "body": b"ok"}
    values.update(more)
    values.setdefault("signature", rules.sign("s1", request, b"ok"))
    return Call(**values)


def arrival(request="r1", server="s1", **more):
    values = {"id": request, "server": server, "service": "a", "at": 10.02, "executed": True, "ended_at": 10.08,
              "status": 200, "work": 0.05}
    values.update(more)
    values.setdefault("signature", rules.sign(server, request, b"ok"))
    return Arrival(**values)


class RulesTest(unittest.TestCase):
    def assert_broken(self, rule, history):
        self.assertTrue(rules.RULES[rule](history, BOUNDS), rule)

    def assert_kept(self, rule, history):
        self.assertEqual(rules.RULES[rule](history, BOUNDS), [], rule)

    def test_a_sound_history_keeps_all_rules(self):
        for rule in rules.RULES:
            self.assert_kept(rule, History(calls=[call()], arrivals=[arrival()]))

    def test_callers_of_a_gateway_without_a_path_to_servers(self):
        def history(served_share):
            calls = []
            for number in range(60):
                served = number >= 30 or number < 30 * served_share
                calls.append(call(f"r{number}", gateway=0 if number < 30 else 1, sent_at=14 + number % 30 / 10,
                                  status=200 if served else 503))
            return History(calls=calls, path_cuts=[PathCut(0, 10.0, 20.0)])
        self.assert_broken("lost-path", history(0.5))
        self.assert_kept("lost-path", history(0.8))

    def test_the_answer_of_another_request(self):
        other = call(signature=rules.sign("s1", "r2", b"ok"))
        self.assert_broken("whole-own-answer", History(calls=[other], arrivals=[arrival("r1"), arrival("r2")]))

    def test_a_success_of_nobody(self):
        self.assert_broken("whole-own-answer", History(calls=[call(signature="")], arrivals=[arrival()]))

    def test_a_cut_body(self):
        self.assert_broken("whole-own-answer", History(calls=[call(body=b"o")], arrivals=[arrival()]))

    def test_a_changed_status(self):
        self.assert_broken("whole-own-answer", History(calls=[call()], arrivals=[arrival(status=500)]))

    def test_a_request_that_goes_on_ending_servers(self):
        def history(count, gap):
            times = [10.0 + gap * number for number in range(count)]
            return History(
                calls=[call(f"r{number}", repeatable=True, sent_at=at) for number, at in enumerate(times)],
                arrivals=[arrival(f"r{number}", server=f"s{number}", at=at, content="/read/ends-1", ended_server=True,
                                  ended_at=at + 0.05) for number, at in enumerate(times)])
        self.assert_broken("ended-servers", history(9, 2.0))
        self.assert_kept("ended-servers", history(6, 2.0))
        self.assert_kept("ended-servers", history(9, 0.3))

    def test_two_runs(self):
        both = [arrival(), arrival(server="s2")]
        self.assert_broken("at-most-once", History(calls=[call()], arrivals=both))
        self.assert_kept("at-most-once", History(calls=[call(repeatable=True)], arrivals=both))

    def test_a_refusal_of_what_ran(self):
        refused = call(status=503, signature="")
        self.assert_broken("true-refusal", History(calls=[refused], arrivals=[arrival()]))
        self.assert_kept("true-refusal", History(calls=[refused], arrivals=[arrival(executed=False)]))

    def test_new_work_for_a_leaving_server(self):
        late = History(calls=[call()], arrivals=[arrival()], leavings=[Leaving("s1", 7.9)])
        self.assert_broken("leaving-server", late)
        late.spans = [Span(8.0, 9.0)]
        self.assert_kept("leaving-server", late)

    def test_requests_after_a_gateway_passed_on_that_a_server_leaves(self):
        def history(sent_at, life=1, spans=()):
            return History(calls=[call(repeatable=True), call("r2", repeatable=True, sent_at=sent_at, life=life)],
                           arrivals=[arrival(leaving=True), arrival("r2", at=sent_at + 0.01)], spans=list(spans))
        self.assert_broken("leaving-answer", history(12.2))
        self.assert_kept("leaving-answer", history(12.0))
        self.assert_kept("leaving-answer", history(12.2, life=2))
        self.assert_kept("leaving-answer", history(12.2, spans=[Span(11.0, 11.5, gateway=0)]))
        self.assert_broken("leaving-answer", history(12.2, spans=[Span(11.0, 11.5)]))

    def test_requests_in_a_back_off(self):
        def history(times, **more):
            turned = arrival(status=503, executed=False, back_off=3.0, ended_at=10.0)
            later = [(f"l{number}", at) for number, at in enumerate(times)]
            return History(calls=[call(status=503, signature="")] + [call(name, sent_at=at, **more) for name, at in later],
                           arrivals=[turned] + [arrival(name, at=at) for name, at in later])
        self.assert_broken("back-off", history([10.6, 11.0, 12.9]))
        self.assert_kept("back-off", history([10.2, 11.0, 12.9]))
        self.assert_kept("back-off", history([10.6, 11.0, 13.1]))
        self.assert_kept("back-off", history([10.6, 11.0, 12.9], gateway=1))

    def test_a_limited_server_that_gets_more(self):
        def history(gap):
            times = [11.5 + gap * number for number in range(12)]
            return History(calls=[call(f"r{number}", gateway=number % 3) for number in range(12)],
                           arrivals=[arrival(f"r{number}", at=at) for number, at in enumerate(times)],
                           limited=[Limited("s1", 1.0, 10.0)])
        self.assert_broken("limited-server", history(0.3))
        self.assert_kept("limited-server", history(0.5))
        excused = history(0.3)
        excused.spans = [Span(11.0, 12.0, gateway=1)]
        self.assert_kept("limited-server", excused)

    def test_an_old_configuration(self):
        versions = [Version(1, "a", 1.0), Version(2, "b", 7.5)]
        self.assert_broken("configuration", History(calls=[call()], arrivals=[arrival()], versions=versions))
        versions[1].at = 8.5
        self.assert_kept("configuration", History(calls=[call()], arrivals=[arrival()], versions=versions))

    def test_a_configuration_that_goes_back(self):
        versions = [Version(1, "a", 1.0), Version(2, "b", 9.0)]
        calls = [call("r0", sent_at=9.2), call("r1")]
        arrivals = [arrival("r0", service="b", at=9.3), arrival("r1")]
        self.assert_broken("configuration", History(calls=calls, arrivals=arrivals, versions=versions))
        calls[1].life = 2
        self.assert_kept("configuration", History(calls=calls, arrivals=arrivals, versions=versions))

    def test_a_stop_that_cuts(self):
        cut = call(answered_at=None, status=0, closed_at=10.3)
        self.assert_broken("planned-stop", History(calls=[cut], arrivals=[arrival()], stops=[Stop(0, 1, 10.05)]))
        cut.closed_at = 10.1
        self.assert_kept("planned-stop", History(calls=[cut], stops=[Stop(0, 1, 10.05)]))
        # The process is started again at once, while its caller still reads what it had handed over.
        late = call(answered_at=None, closed_at=14.2, reading=4.0)
        stop = Stop(0, 1, 10.05, ended_at=13.3)
        again = Span(13.31, 14.31, gateway=0)
        self.assert_broken("planned-stop", History(calls=[late], arrivals=[arrival()], stops=[stop], spans=[again]))
        before = Span(9.0, 9.5, gateway=0)
        self.assert_kept("planned-stop", History(calls=[late], arrivals=[arrival()], stops=[stop], spans=[before]))
        longer = call(answered_at=None, closed_at=15.5, reading=5.6)
        self.assert_kept("planned-stop", History(calls=[longer], arrivals=[arrival()], stops=[Stop(0, 1, 10.05)]))

    def test_too_many_further_sends(self):
        many = [arrival(f"r{n}", server, at=10 + n / 100) for n in range(30) for server in ("s1", "s2")]
        self.assert_broken("retry-budget", History(arrivals=many))
        self.assert_kept("retry-budget", History(arrivals=many[:40]))

    def test_no_answer_in_time(self):
        self.assert_broken("final-answer", History(calls=[call(answered_at=11.6)]))
        self.assert_broken("final-answer", History(calls=[call(answered_at=None)]))

    def test_work_for_a_caller_that_left(self):
        left = call(repeatable=True, answered_at=None, left_at=10.1)
        self.assert_broken("cancellation", History(calls=[left], arrivals=[arrival(ended_at=11.5, work=1.4)]))
        self.assert_kept("cancellation", History(calls=[left], arrivals=[arrival(ended_at=None, cut_at=10.2, work=1.4)]))

    def test_no_recovery(self):
        self.assertTrue(rules.recovery([call(status=503)] * 4))
        self.assertEqual(rules.recovery([call()] * 4), [])


if __name__ == "__main__":
    unittest.main()
