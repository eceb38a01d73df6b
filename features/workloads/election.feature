Feature: Leader election, and readiness of entries meanwhile

  Scenario: A strong entry takes a vacant leadership before many weak ones
    # Guards against a slow change of leader. In trouble-2 (Msasani, grown), one of 25
    # weak entries found the leadership vacant between two reads of the strong ones, and
    # took 0.8 s to read the records.
    Given 25 weak entries and 2 strong entries in an election
    When the leadership becomes vacant after 0.5 s
    Then a strong entry becomes leader within 1 s

  Scenario: A weak entry takes the leadership if there is no strong one
    Given 3 weak entries and 0 strong entries in an election
    When the leadership becomes vacant after 0.5 s
    Then an entry becomes leader within 2 s

  Scenario Outline: Which entries report ready to the load balancer
    # Guards against callers at entries that cannot serve them. In trouble-2 (Msasani,
    # grown), a data centre was cut off together with the leader, whose heartbeats kept
    # its entries ready for 6 s.
    Given an entry whose store last responded <store> s ago
    And a leader heartbeat <heartbeat> s old, <authority>, its store <leader's store>
    Then the entry is <ready>

    Examples:
      | store | heartbeat | authority         | leader's store | ready     |
      | 9.0   | 0.2       | with authority    | working        | ready     |
      | 9.0   | 0.2       | without authority | failing        | not ready |
      | 0.2   | 9.0       | without authority | failing        | ready     |
      | 9.0   | 0.2       | with authority    | failing        | ready     |
      | 9.0   | 3.0       | with authority    | failing        | ready     |
      | 9.0   | 3.0       | with authority    | working        | not ready |

  Scenario Outline: How long a submission waits when no leader accepts it
    Given an entry whose store last responded <store> s ago
    And a leader heartbeat <heartbeat> s old, <authority>, its store <leader's store>
    When a caller submits a job with a deadline of 3 s
    Then it is refused after <least> to <most> s

    Examples:
      | store | heartbeat | authority         | leader's store | least | most |
      | 9.0   | 9.0       | without authority | failing        | 0.0   | 0.5  |
      | 0.0   | 9.0       | with authority    | working        | 1.0   | 2.9  |

  Scenario Outline: When endpoints without a poll can have no runs of an earlier leader
    # Guards against waiting too long for runs of the earlier leader. In trouble-2
    # (Msasani, grown), restored jobs waited for 6.5 s after the change of leader,
    # although the earlier leader could give no orders after its lease had ended.
    Given an entry that <consent>
    When it finds the leadership vacant
    Then runs of the earlier leader may continue until <seconds> s after that

    Examples:
      | consent                                             | seconds |
      | has been in contact with the store                  | 4.6     |
      | has just reported that it cannot reach the store    | 5.8     |

  Scenario Outline: A leader continues while no live entry reaches the store
    # Guards against waiting for removed entries. In trouble-3 (co-operative, grown), an
    # entry that had been removed 15 s before was in the records but sent no heartbeats.
    # Nothing ran for 3.5 s of a store outage.
    Given a leader that got a heartbeat of one entry 0.2 s ago, without the store
    And another entry whose last heartbeat came <heartbeat> s ago, <store> the store
    When the leader's store has failed for 2 s
    Then the leader <verdict>

    Examples:
      | heartbeat | store   | verdict   |
      | 0.2       | without | continues |
      | 0.2       | with    | stops     |
      | 1.8       | without | stops     |
      | 4.0       | without | stops     |
      | 6.0       | with    | continues |
