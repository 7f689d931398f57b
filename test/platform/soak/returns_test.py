"""Real gateways that all end at once and return beside other trouble: each serves again within the bound."""

import asyncio
import sys
import unittest

from returns import Play, Scene

BUILD = "build"
SERVED_SHARE = 0.95  # of the first tries at each gateway, once the bound has passed and servers are well


class ReturnsTest(unittest.TestCase):
    def play(self, scene: Scene) -> None:
        result = asyncio.run(Play(BUILD, self._testMethodName, scene).run())
        print(f"{self.id()}: {result.describe()}")
        self.assertGreater(len(result.later()), 100)
        self.assertGreaterEqual(result.share(result.before()), SERVED_SHARE)
        self.assertGreaterEqual(result.by_gateway()[0], SERVED_SHARE)

    def test_service_returns_after_a_loss_of_all_gateways(self):
        self.play(Scene(after_s=20))

    def test_service_returns_after_servers_were_slow_while_all_gateways_started(self):
        # Guards against a refusal by an estimate that nothing tests again, as a refusal sends nothing.
        self.play(Scene(delay_s=1.0, delay_for_s=4.0))

    def test_service_returns_after_two_losses(self):
        self.play(Scene(delay_s=1.0, delay_for_s=1.5, losses=2, after_s=20))


if __name__ == "__main__":
    if len(sys.argv) > 1 and sys.argv[1] == "--build":
        BUILD = sys.argv[2]
        del sys.argv[1:3]
    unittest.main(warnings="ignore")
