Feature: Jobs with many occurrences

  Scenario Outline: A new leader restores a schedule of any length at once
    # Guards against accepted jobs that are lost (LOST, review/3): a new leader visited
    # each occurrence of each schedule, its event loop stood still for longer than the
    # lease, and the next leader did the same.
    Given a scheduled job with <occurrences> occurrences that begins in an hour
    When the next leader restores it, plans and corrects its state
    Then this took less processor time than the interval of renewing the lease
    And no task of the job waits

    Examples:
      | occurrences         |
      | 105120              |
      | 10000000            |
      | 1000000000          |
      | 4611686018427387904 |

  Scenario Outline: A schedule costs the same after many occurrences
    # Guards against steps of the event loop and records that grow with each occurrence
    # that has been completed.
    Given a scheduled job with 1000000000 occurrences, of which <completed> are completed
    When the next leader restores it, plans and corrects its state
    Then this took less processor time than the interval of renewing the lease
    And only the tasks of occurrence <completed> wait

    Examples:
      | completed |
      | 1         |
      | 10000000  |
      | 999999999 |

  Scenario: The record of a schedule does not grow with completed occurrences
    # Guards against a record that becomes too large for the store after months.
    Given a scheduled job with 2000 overdue occurrences
    When all but the last occurrence are completed one after the other
    Then its record is at most 100 bytes longer than after the first
    And only the tasks of occurrence 1999 wait

  Scenario: Occurrences that an earlier version has recorded as completed do not run again
    # Guards against tasks that run after their success when the version changes.
    Given a scheduled job with 5 overdue occurrences
    And a record of an earlier version, where occurrences 0, 1 and 3 are completed
    When the next leader restores it, plans and corrects its state
    Then only the tasks of occurrences 2 and 4 wait

  Scenario: An occurrence that waits does not hold up later ones
    # Guards against occurrences that become due and never start.
    Given a scheduled job with 5 overdue occurrences
    When occurrences 1, 2 and 4 are completed
    Then only the tasks of occurrences 0 and 3 wait
    When the next leader restores it, plans and corrects its state
    Then only the tasks of occurrences 0 and 3 wait

  Scenario: A success that is known before its occurrence is due counts
    # Guards against a task that runs after its success: an earlier leader whose clock was
    # ahead has started it.
    Given a scheduled job with 3 occurrences that begins in an hour
    When occurrence 0 is completed
    Then no task of the job waits
    When the next leader restores it, and the job is due
    Then only the tasks of occurrences 1 and 2 wait

  Scenario Outline: Overdue occurrences are opened as far as there is room for them
    # Guards against a leader that opens all occurrences that are due at once, and so
    # does all further ones: a schedule that began long ago stops every entry.
    Given a scheduled job with 1000000000 overdue occurrences, one each <interval> s
    When the next leader restores it, plans and corrects its state
    Then this took less processor time than the interval of renewing the lease
    And the tasks of the first 10 occurrences wait
    When the first 3 occurrences are completed
    Then the tasks of the first 13 occurrences wait, without those of the first 3

    Examples:
      | interval |
      | 0        |
      | 0.001    |
      | 3600     |

  Scenario: A wide occurrence that is at work does not hold up the next one
    # Guards against occurrences that wait for the last task of an earlier one.
    Given a scheduled job with 2 overdue occurrences of 1500 tasks
    When a leader restores it
    Then 1500 tasks wait
    When all of them but one are ordered
    Then 1501 tasks wait

  Scenario Outline: A schedule of any length is cancelled at once
    # Guards against a cancel that stops every entry: it visited each task of each
    # occurrence to find the runs to be stopped.
    Given a scheduled job with <occurrences> occurrences, of which 2 tasks run
    When it is cancelled
    Then this took less processor time than the interval of renewing the lease
    And both runs are to be stopped

    Examples:
      | occurrences         |
      | 10000000            |
      | 4611686018427387904 |

  Scenario: The remaining work of a scheduled job is that of its open occurrences
    # Guards against instances that are held for a schedule long before it is due, and
    # against none for its later occurrences: the first one counted, due or not.
    Given a scheduled job with 3 occurrences that begins in an hour
    When the next leader restores it, plans and corrects its state
    Then its remaining work is 0 core-seconds
    When the job is due, and occurrence 0 is completed
    Then its remaining work is 6 core-seconds

  Scenario: Each task of random schedules succeeds once
    # Guards against occurrences that are left out, run again or end the job early,
    # whatever the order of successes, failures and changes of the leader.
    Then random orders of events complete each occurrence, and then the job
