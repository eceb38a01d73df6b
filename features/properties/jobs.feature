Feature: Jobs are finished once and correctly, or plainly refused
  Guards against a lost, doubled or wrong answer, a "not run" that is false, a
  non-idempotent job that runs twice, and a team above its limit, under each fault of the
  platform and of the processes.

  Scenario Outline: No promise is broken when <fault>
    Given a fleet of three entries in two data centres
    When jobs of all teams arrive for 8 seconds and <fault>
    Then the records have no violation
    And at least <finished> in 100 jobs finish

    Examples:
      | fault                                  | finished |
      | nothing fails                          | 99       |
      | an entry and an endpoint are killed    | 85       |
      | an entry is paused                     | 70       |
      | the store is down                      | 95       |
      | a data centre is cut off               | 50       |
      | requests vanish                        | 95       |
      | answers are truncated                  | 95       |
      | an endpoint fails everything           | 85       |

    @long
    Examples: the other faults
      | fault                                  | finished |
      | an entry is killed                     | 90       |
      | an endpoint is killed                  | 90       |
      | an endpoint is paused                  | 80       |
      | the store is silent                    | 95       |
      | the store is slow                      | 95       |
      | the store loses answers                | 95       |
      | a data centre loses the store          | 95       |
      | the store and an entry are lost        | 40       |
      | connections go silent                  | 95       |
      | answers are lost                       | 95       |
      | answers name another attempt           | 95       |
      | answers are repeated                   | 95       |
      | answers are late                       | 95       |
      | endpoint links are cut                 | 90       |
      | the store reads stale                  | 95       |
