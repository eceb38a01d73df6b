@long
Feature: Waves on a fleet of processes
  Guards against faults that the in-memory fakes do not cover: the planner runs with the
  real store client, replica, coordinator and platform client over loopback.

  Scenario Outline: A wave completes although its planner fails
    Guards against an instance that is stopped twice or left out after a takeover.
    Given a fleet of processes with a wave over all of its instances
    When the planner is <fault> as soon as an instance is "<state>"
    Then the wave is done within 120 s and each instance was rebooted once
    And no stored version of the fleet has planned stops beyond a budget

    Examples:
      | fault                 | state     |
      | killed                | leaving   |
      | killed                | draining  |
      | killed                | rebooting |
      | paused for 20 seconds | draining  |
      | paused for 20 seconds | returning |

  Scenario: An endpoint is killed during a wave and restarted
    Guards against a stop in a pool whose budget a failure has used up.
    Given a fleet of processes with a wave over all of its instances
    When the endpoint of "i-4" is killed for 15 s
    Then the wave is done within 120 s and each instance was rebooted once
    And no stored version of the fleet has planned stops beyond a budget
