Feature: The checker finds every kind of violation
  Guards against a checker that accepts records with a violation: each row seeds one
  fault into clean records of 30 jobs of two teams.

  Scenario Outline: A seeded fault is found, and nothing else is reported
    Given clean records of callers and endpoints
    When this fault is seeded: <fault>
    Then the checker counts only: <counts>

    Examples:
      | fault                                                      | counts                     |
      | none                                                       | nothing                    |
      | a caller gets no response                                  | lost=1                     |
      | a caller gets a malformed refusal                          | lost=1                     |
      | a job is reported as finished, but no endpoint finished it | lost=1                     |
      | a caller gets no response from another entry in an outage  | lost=1                     |
      | a caller gets no response after an outage ended            | lost=1                     |
      | a caller gets no response from a killed entry              | nothing                    |
      | a caller gets two outcomes                                 | doubled=1                  |
      | a non-idempotent job finishes twice                        | doubled=1, started_twice=1 |
      | a non-idempotent job starts again after it failed          | started_twice=1            |
      | an idempotent job starts again after it failed             | nothing                    |
      | a caller gets the answer to another job                    | wrong_answer=1             |
      | a finished job is reported as not run                      | false_not_run=1            |
      | a failed job is reported as not run                        | false_not_run=1            |
      | a job reported as not run starts later                     | false_not_run=1            |
      | a job is reported as not run and never starts              | nothing                    |
      | a team runs one job above its limit                        | team_limit=1               |
      | a task of a killed endpoint no longer counts for the limit | nothing                    |
      | a team starts a job above its lowered limit                | team_limit=1               |
      | a team runs jobs from before its limit was lowered         | nothing                    |
      | a withdrawn key starts a job after its withdrawal          | withdrawn_key=1            |
      | a withdrawn key starts a job before its withdrawal         | nothing                    |
      | a job runs for another team                                | wrong_team=1               |
      | a planned stop interrupts a job                            | interrupted=1              |
      | an endpoint runs a job that nobody submitted               | unsubmitted=1              |

  Scenario: Each outcome is counted once
    Given clean records of callers and endpoints
    When this fault is seeded: a caller gets no response from a killed entry
    Then the checker's outcomes add up to the submitted jobs
