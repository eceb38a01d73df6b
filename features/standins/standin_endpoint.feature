Feature: Contract of the endpoint stand-in
  Guards against records that differ from what ran, and against fences and leases that
  do not prevent a task from starting or continuing: the checker relies on both.

  Background:
    Given an endpoint stand-in with 2 slots

  Scenario: A task finishes with the answer to its own body
    When attempt "a" is posted with a task of 50 ms
    Then attempt "a" is answered with 200
    And the answer is complete, and names its attempt and the load "0/2"
    And the state of attempt "a" is finished
    And the record has for attempt "a": start, end finished

  Scenario: A full endpoint refuses, and the refused task never ran
    When attempts "a" and "b" are running
    And attempt "c" is posted with a task of 50 ms
    Then attempt "c" is answered with 503 and the code "full"
    And the state of attempt "c" is never
    And the record has for attempt "c": nothing

  Scenario Outline: A fence returns the state of each attempt
    When attempt "a" is <before>
    Then a fence of attempt "a" gives <state>
    And the record has for attempt "a": <record>

    Examples:
      | before   | state    | record              |
      | unknown  | never    | nothing             |
      | running  | stopped  | start, end fenced   |
      | finished | finished | start, end finished |
      | failed   | stopped  | start, end failed   |

  Scenario: A fenced attempt that arrives later does not start
    When attempt "a" is unknown
    Then a fence of attempt "a" gives never
    When attempt "a" is posted with a task of 50 ms
    Then attempt "a" is answered with 503 and the code "fenced"
    And the record has for attempt "a": nothing

  Scenario: An attempt that arrives twice runs once
    When attempt "a" is finished
    And attempt "a" is posted with a task of 50 ms
    Then attempt "a" is answered with 409
    And the record has for attempt "a": start, end finished

  Scenario: A task stops when its lease ends
    When attempt "a" is posted with a task of 5000 ms under a lease of 200 ms
    Then attempt "a" is answered with 500
    And the state of attempt "a" is stopped
    And the record has for attempt "a": start, end lease-ended

  Scenario: A leaving endpoint refuses new tasks and ends running ones
    When attempt "a" is running
    And the endpoint stand-in becomes leaving
    And attempt "b" is posted with a task of 50 ms
    Then attempt "b" is answered with 503 and the code "leaving"
    And attempt "a" of a running task is answered with 200

  Scenario Outline: A fault on one request has the effect that its name states
    Given the endpoint stand-in has the fault <fault>
    When attempt "a" is posted with a task of 50 ms
    Then attempt "a" is answered with <answer>
    And the record has for attempt "a": <record>
    And attempt "b" is answered with 200 over a new connection

    Examples:
      | fault                 | answer                | record              |
      | {"silent": 1}         | silence               | start, end finished |
      | {"silent_unstarted": 1} | silence           | nothing             |
      | {"lost": 1}           | a broken connection   | start, end finished |
      | {"lost_unstarted": 1} | a broken connection   | nothing             |
      | {"truncated": 1}      | a short body          | start, end finished |
      | {"wrong_attempt": 1}  | another attempt       | start, end finished |
      | {"repeated": 1}       | two responses         | start, end finished |
      | {"fail": 1}           | 500                   | start, end failed   |
      | {"impossible": 1}     | 422                   | nothing             |
      | {"full": 1}           | 503                   | nothing             |
      | {"late_ms": 300}      | 200                   | start, end finished |

  Scenario: A request to a frozen endpoint runs afterwards, though its caller has left
    Given the endpoint stand-in has the fault {"frozen": true}
    When attempt "a" is posted with a task of 50 ms
    Then attempt "a" is answered with silence
    Given the endpoint stand-in has the fault {}
    Then the record has for attempt "a": start, end finished

  Scenario: The record survives a SIGKILL
    Given an endpoint stand-in in a process of its own
    When attempt "a" is running
    And the endpoint stand-in is killed
    Then the record file has for attempt "a": start
