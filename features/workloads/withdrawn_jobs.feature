Feature: A job that is cancelled before it is submitted

  Scenario Outline: A submission that arrives after its cancelling is refused
    # Guards against a job that runs although its cancelling was answered (UNASKED, review/10):
    # an entry that had been frozen read the submission after the cancel of its id had been
    # answered with "no such job".
    Given 3 entries, and a submission that an entry holds up
    When its id is cancelled, <event>, and the submission goes on after <seconds> s
    Then the cancel was answered with "missing"
    And the submission is refused within 1 s, and nothing of the job ever runs
    And the state of the job is "missing"

    Examples:
      | event                                    | seconds |
      | nothing else happens                     | 0       |
      | nothing else happens                     | 8       |
      | nothing else happens                     | 100     |
      | the leader is killed                     | 5       |
      | the leader stops as planned              | 5       |
      | the leader is killed twice               | 10      |

  Scenario Outline: A cancel and a submission at the same time
    # Guards against a cancel that is answered with "missing" while the job is accepted.
    Given 3 entries
    When 40 jobs are submitted, and cancelled from 10 ms before to 10 ms after that, <how>
    Then no job runs 0.5 s after its cancelling was answered
    And each cancel is answered

    Examples:
      | how                              |
      | at the same entry                |
      | at different entries             |

  Scenario: A cancel of an unknown id without the store
    # Guards against a promise that only one leader knows of.
    Given 3 entries
    When an unknown id is cancelled while the store does not respond
    Then the cancel is answered with "unknown"

  Scenario: Withdrawn ids are removed after the retention of states
    # Guards against records and memory that grow with each cancel of an unknown id.
    Given 3 entries
    When 100 unknown ids are cancelled, and 150 s pass
    Then no leader and no record knows them

  Scenario: Withdrawals that outlive their retention before they are recorded
    # Guards against a loop of writes that fails for good, and against requests that never
    # end, after an outage of the store that is longer than the retention.
    Given 3 entries
    When an unknown id is cancelled, and its retention ends during an outage of the store
    Then the request has ended, and the next cancel is answered with "missing"

  Scenario: Cancels of unknown ids beyond a number are not acknowledged
    # Guards against memory that callers can fill.
    Given 3 entries, whose leader has withdrawn 10000 ids
    When an unknown id is cancelled
    Then the cancel is answered with "unknown"
    When 150 s pass, and an unknown id is cancelled
    Then the cancel is answered with "missing"

  Scenario: A withdrawn id whose record cannot be decoded stays withdrawn
    # Guards against a record that another version has written.
    Given 3 entries, and an undecodable record of a withdrawn id
    When the leader is killed, and the job is submitted
    Then the submission is refused
