Feature: Callers record the outcome of each job
  Guards against callers that accept a broken response or the answer to another job, or
  that wait for one response before they send the next job.

  Scenario Outline: Each kind of response is recorded with its outcome
    Given an entry that responds with <response>
    When a caller submits one job to it
    Then the caller's record is <outcome>, code "<code>", <answer>

    Examples:
      | response                        | outcome  | code            | answer    |
      | its own answer                  | finished | none            | correct   |
      | its own answer to another job   | finished | none            | incorrect |
      | the answer to another body      | finished | none            | incorrect |
      | an empty answer                 | finished | none            | incorrect |
      | a short body                    | none     | connection-lost | incorrect |
      | a reset connection              | none     | connection-lost | incorrect |
      | silence                         | none     | timeout         | incorrect |
      | a refusal as not run            | not run  | full            | incorrect |
      | a refusal as unknown            | unknown  | full            | incorrect |
      | a refusal without an outcome    | none     | malformed       | incorrect |
      | a refusal that is not JSON      | none     | malformed       | incorrect |
      | a refusal with another outcome  | none     | malformed       | incorrect |

  Scenario: A refused connection submits nothing, and the next entry gets the job
    Given an entry that responds with its own answer
    When a caller submits one job to a closed port and then to it
    Then the caller's record is finished, code "none", correct

  Scenario: A caller that disconnects is recorded as left
    Given an entry that responds with silence
    When a caller submits one job to it and leaves after 100 ms
    Then the caller's record is left, code "left", incorrect

  Scenario: Jobs are sent at their times although no response arrives
    Given an entry that responds with silence
    When callers submit 10 jobs within 0.5 s
    Then all jobs were sent within 0.1 s of their times

  Scenario Outline: The demo succeeds only if enough jobs finish without a violation
    Given a demo of 10 jobs with <finished> finished and the violation <violation>
    Then the demo is <verdict> and its line ends with "<line>"

    Examples:
      | finished | violation     | verdict | line                              |
      | 9        | none          | good    | lost=0 doubled=0 false_not_run=0  |
      | 8        | none          | bad     | lost=0 doubled=0 false_not_run=0  |
      | 10       | lost          | bad     | lost=1 doubled=0 false_not_run=0  |
      | 10       | doubled       | bad     | lost=0 doubled=1 false_not_run=0  |
      | 10       | started_twice | bad     | lost=0 doubled=1 false_not_run=0  |
      | 10       | false_not_run | bad     | lost=0 doubled=0 false_not_run=1  |
      | 10       | wrong_answer  | bad     | lost=0 doubled=0 false_not_run=0  |
