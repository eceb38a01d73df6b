Feature: Every job finishes once and correctly or is refused explicitly
  Guards against a lost, duplicate or wrong response, a false "not run", a
  non-idempotent job that runs twice, and a team above its limit, under each fault of
  the platform and of the processes.

  Scenario Outline: No guarantee is violated when <fault>
    Given a fleet of three entries in two data centres
    When jobs of all teams arrive for 8 seconds and <fault>
    Then the records have no violation
    And at least <finished> in 100 jobs finish

    Examples:
      | fault                               | finished |
      | nothing fails                       | 99       |
      | an entry and an endpoint are killed | 85       |
      | an entry is paused                  | 70       |
      | the store is down                   | 95       |
      | a data centre is partitioned        | 50       |
      | requests are lost                   | 95       |
      | responses are truncated             | 95       |
      | an endpoint fails every job         | 85       |

    @long
    Examples: the other faults
      | fault                                       | finished |
      | an entry is killed                          | 90       |
      | an endpoint is killed                       | 90       |
      | an endpoint is paused                       | 80       |
      | the store does not respond                  | 95       |
      | the store is slow                           | 95       |
      | the store loses responses                   | 95       |
      | a data centre is partitioned from the store | 95       |
      | the store is down and an entry is killed    | 40       |
      | connections hang                            | 95       |
      | responses are lost                          | 95       |
      | responses name another attempt              | 95       |
      | responses are repeated                      | 95       |
      | responses are late                          | 95       |
      | endpoint links are cut                      | 90       |
      | the store returns stale reads               | 95       |
