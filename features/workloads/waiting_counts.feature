Feature: The number of waiting jobs that callers get

  Scenario Outline: Callers get no count that leaves out jobs that have waited for long
    # Guards against a count of 0 while jobs wait (MIXED, grown sites): a leader that had
    # not read the records yet reported no counts, which the entries took for zero.
    Given 3 entries at which far more jobs wait than the endpoints can run
    When the leader <event> and the next one reads the records in <seconds> s
    Then every entry counts all jobs that were accepted 2 s before and wait, or gives no count
    And each of them gives a count again within 3 s of the records being read

    Examples:
      | event      | seconds |
      | is killed  | 0.1     |
      | is killed  | 1.0     |
      | is killed  | 2.5     |
      | resigns    | 1.0     |

  Scenario: A leader that was cut off gives no count of its own
    # Guards against counts that leave out all that a later leader has accepted: an entry
    # that led and had lost its authority answered from its own state for as long as it
    # heard of no later leader.
    Given 3 entries at which far more jobs wait than the endpoints can run
    When the leader is cut off, and more jobs arrive
    Then every entry counts all jobs that were accepted 2 s before and wait, or gives no count

  Scenario Outline: A job whose start failed is counted as waiting
    # Guards against a count that is too low for as long as such jobs wait (MIXED, read
    # from the code): a job was no longer counted once capacity was reserved for it,
    # although no endpoint had started a task of it.
    Given 3 entries at which far more jobs wait than the endpoints can run
    When the endpoints <response> for 5 s
    Then every entry counts all jobs that were accepted 2 s before and wait, or gives no count

    Examples:
      | response                    |
      | refuse starts               |
      | do not respond to starts    |
      | refuse connections          |

  Scenario: A count that was held up on its way is not given as a new one
    # Guards against a count that is too low while messages are held up (MIXED, read from
    # the code): its age was counted from when it was received.
    Given 3 entries at which far more jobs wait than the endpoints can run
    When the leader's heartbeats arrive 3 s late
    Then every entry counts all jobs that were accepted 2 s before and wait, or gives no count

  Scenario Outline: What is known of a start decides whether its job counts as waiting
    Given a leader of epoch 2 with an endpoint "a" and an endpoint "b"
    And an accepted job with 1 task
    When its start at "a" <outcome>
    Then <count> job waits, and callers are told that it is <state>

    Examples:
      | outcome                                      | count | state   |
      | is ordered                                   | 1     | pending |
      | is refused                                   | 1     | pending |
      | gets no response                             | 1     | pending |
      | gets no response, and "a" restarts           | 1     | pending |
      | is confirmed                                 | 0     | running |
      | is confirmed, and the run fails              | 0     | running |
      | gets no response, and the run is listed      | 0     | running |
      | gets no response, and a failed run is listed | 0     | running |

  Scenario Outline: A new leader knows from the records which jobs have started
    Given a leader of epoch 2 with an endpoint "a" and an endpoint "b"
    And an accepted job with 1 task
    When its start at "a" <outcome>
    And a leader of epoch 3 restores the records
    Then <count> job waits, and callers are told that it is <state>

    Examples:
      | outcome                         | count | state   |
      | is refused                      | 1     | pending |
      | is confirmed, and the run fails | 0     | running |
