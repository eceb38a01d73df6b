Feature: A store that is slow, away or loses answers

  Scenario: Endpoints are looked at while their ends cannot be written
    # trouble-2 (Msasani, grown): with a store 48 times as slow, nothing was looked at for
    # 2.6 s. Room that was free stayed unused, and 264 runs were taken for stalled.
    Given a leader whose writes do not go through
    When a run succeeds at an endpoint where another one goes on, and 2 s pass
    Then the endpoint has been looked at 3 times or more, and none of them waited
    And its hold has been prolonged
    And nothing is acknowledged

  Scenario: An endpoint that was not looked at does not stall its runs
    # trouble-2 (Msasani, grown): 250 runs were stopped in one second.
    Given a run of an estimated 1 s that was looked at 1 s after its start
    When its endpoint answers a start 2.5 s later, and is not looked at
    Then the run is left alone

  Scenario: A write whose answer is lost is sent again soon
    # Pattern: platform_lost. A lost answer held all writes up for a second.
    Given a store that loses the answer to the first of two writes
    When both are committed
    Then they are done within 1 s

  Scenario Outline: Which jobs are accepted while writes fail
    Given a leader whose writes have failed for <seconds> s and whose lease is <renewed>
    Then a job is <verdict>

    Examples:
      | seconds | renewed     | verdict  |
      | 0.0     | renewed     | taken    |
      | 0.6     | renewed     | taken    |
      | 1.5     | renewed     | refused  |
      | 0.6     | not renewed | refused  |

  Scenario: A job is refused at once while the store refuses writes
    # trouble-3 (co-operative, grown): platform_down (busy). Jobs that were taken could
    # neither be accepted nor refused until the store was back.
    Given a leader whose last write was refused by the store
    Then a job is refused

  Scenario: A new job does not wait for the progress of all others
    # Pattern: platform_slow. Each write takes a quarter of a second.
    Given a leader with 200 jobs whose progress is unsaved, and writes of 0.05 s
    When a job is handed in after the first write has begun
    Then it is in the second write
    And every write is full but the last, and none has over 30 entries
