Feature: A store that is slow, unavailable or loses responses

  Scenario: Endpoints are polled while their ends cannot be written
    # Guards against polls that wait for the store. In trouble-2 (Msasani, grown), with
    # a store 48 times as slow, no endpoint was polled for 2.6 s. Free capacity stayed
    # unused, and 264 runs were considered stalled.
    Given a leader whose writes do not go through
    When a run succeeds at an endpoint where another one continues, and 2 s pass
    Then the endpoint has been polled at least 3 times, and no poll waited
    And its run lease has been extended
    And nothing is acknowledged

  Scenario: Runs are not stalled because their endpoint was not polled
    # Guards against needless stops. In trouble-2 (Msasani, grown), 250 runs were
    # stopped in one second.
    Given a run of an estimated 1 s that was listed by a poll 1 s after its start
    When its endpoint answers a start order 2.5 s later, and is not polled
    Then the run is not stopped

  Scenario: A write whose response is lost is retried soon
    # Pattern: platform_lost. A lost response blocked all writes for a second.
    Given a store that loses the response to the first of two writes
    When both are committed
    Then they are done within 1 s

  Scenario Outline: Which jobs are accepted while writes fail
    Given a leader whose writes have failed for <seconds> s and whose lease is <renewed>
    Then a job is <verdict>

    Examples:
      | seconds | renewed     | verdict  |
      | 0.0     | renewed     | accepted |
      | 0.6     | renewed     | accepted |
      | 1.5     | renewed     | refused  |
      | 0.6     | not renewed | refused  |

  Scenario: A job is refused at once while the store refuses writes
    # Guards against callers without an outcome. In trouble-3 (co-operative, grown),
    # pattern platform_down (busy), submitted jobs were neither accepted nor refused
    # until the store was back.
    Given a leader whose last write was refused by the store
    Then a job is refused

  Scenario: A new job does not wait for the progress of all others
    # Pattern: platform_slow. Each write takes a quarter of a second.
    Given a leader with 200 jobs whose progress is unsaved, and writes of 0.05 s
    When a job is submitted after the first write has begun
    Then it is in the second write
    And every write is full but the last, and none has over 30 entries

  Scenario: A job that is handed in again during a write that left it out
    # Guards against a job that is reported as accepted and in no record: it was refused
    # while it waited for the second write, which holds nothing of it, and handed in
    # again before that write ended.
    Given 40 new jobs, of which the first write holds 30
    When the others are refused, and one is handed in again during the second write
    Then it is accepted by the write that records it, not before

  Scenario: A store that answers every write with an error
    # Guards against a loop of attempts without a pause.
    Given a store that answers each write at once with an error
    When a write has failed for 1 s
    Then at most 11 attempts were made
