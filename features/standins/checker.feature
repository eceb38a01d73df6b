Feature: The checker finds every kind of violation
  Guards against a checker that passes records in which a promise is broken: each row
  seeds one fault into clean records of 30 jobs of two teams.

  Scenario Outline: A seeded fault is found, and nothing else is reported
    Given clean records of callers and endpoints
    When this fault is seeded: <fault>
    Then the checker counts only: <counts>

    Examples:
      | fault                                                  | counts                     |
      | none                                                   | nothing                    |
      | a caller is told nothing                               | lost=1                     |
      | a caller gets a malformed refusal                      | lost=1                     |
      | a caller is told finished and no endpoint finished it  | lost=1                     |
      | a caller is told nothing by another entry in an outage | lost=1                     |
      | a caller is told nothing after an outage ended         | lost=1                     |
      | a caller is told nothing by a killed entry             | nothing                    |
      | a caller is told two outcomes                          | doubled=1                  |
      | a non-idempotent job finishes twice                    | doubled=1, started_twice=1 |
      | a non-idempotent job starts again after it failed      | started_twice=1            |
      | an idempotent job starts again after it failed         | nothing                    |
      | a caller gets another answer                           | wrong_answer=1             |
      | a finished job is told as not run                      | false_not_run=1            |
      | a failed job is told as not run                        | false_not_run=1            |
      | a job told as not run starts later                     | false_not_run=1            |
      | a job is told as not run and never starts              | nothing                    |
      | a team runs one job above its limit                    | team_limit=1               |
      | a task of a killed endpoint leaves room in the limit   | nothing                    |
      | a team starts a job above its lowered limit            | team_limit=1               |
      | a team runs jobs from before its limit was lowered     | nothing                    |
      | a withdrawn key starts a job after it was in force     | withdrawn_key=1            |
      | a withdrawn key starts a job before it was in force    | nothing                    |
      | a job runs for another team                            | wrong_team=1               |
      | a planned stop interrupts a job                        | interrupted=1              |
      | an endpoint runs a job that nobody submitted           | unsubmitted=1              |

  Scenario: Outcomes are counted once each
    Given clean records of callers and endpoints
    When this fault is seeded: a caller is told nothing by a killed entry
    Then the checker's outcomes add up to the submitted jobs
