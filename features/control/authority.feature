Feature: Keyed jobs require a current configuration
  Guards against an entry that honours a withdrawn key because it cannot learn that the
  key was withdrawn. Entries a, b and c in three data centres and the store are
  simulated on a virtual clock. An entry may start keyed jobs only with authority.

  Scenario Outline: <case>
    Given established entries a, b and c
    When <event>
    And <seconds> seconds pass
    Then <with> have authority and <without> have not

    Examples:
      | case                                             | event                                        | seconds | with    | without |
      | nothing fails                                    | nothing happens                              | 10      | a, b, c | none    |
      | the store is down                                | the store goes down                          | 60      | a, b, c | none    |
      | an outage just under the longest allowed         | the store goes down                          | 1790    | a, b, c | none    |
      | an outage over the longest allowed               | the store goes down                          | 1802    | none    | a, b, c |
      | one entry has just been partitioned              | c is partitioned from everything             | 3       | a, b, c | none    |
      | one entry is partitioned                         | c is partitioned from everything             | 5       | a, b    | c       |
      | one entry is partitioned from the store only     | c is partitioned from the store              | 120     | a, b, c | none    |
      | two entries are partitioned from the store only  | b and c are partitioned from the store       | 120     | a, b, c | none    |
      | partitioned from the store and one peer          | c is partitioned from the store and from a   | 10      | a, b, c | none    |
      | the same until a, which gets no reply, removes c | c is partitioned from the store and from a   | 120     | a, b    | c       |
      | the store is down, one member is killed          | the store goes down and c is killed          | 10      | none    | a, b    |
      | the store is down, one member is partitioned     | the store goes down and c is partitioned     | 10      | none    | a, b, c |
      | one member is killed                             | c is killed                                  | 60      | a, b    | none    |
      | two members are partitioned together             | b and c are partitioned from a and the store | 5       | a       | b, c    |

  Scenario: No entry loses authority when the store goes down
    Guards against keyed jobs that are refused between the end of freshness and the
    outage consent of the peers.
    Given established entries a, b and c
    When the store goes down
    Then every entry has authority at every check during 12 seconds

  Scenario: Partitioned entries lose authority after a change elsewhere
    Given established entries a, b and c
    When b and c are partitioned from a and the store
    And a accepts a change
    And 5 seconds pass
    Then a have authority and b, c have not
    And no entry ever honoured a replaced configuration

  Scenario: All members are partitioned from the store and a new entry starts
    Given established entries a, b and c
    When a, b and c are partitioned from the store
    And 5 seconds pass
    Then a, b, c have authority and none have not
    When d is started without connections to a, b and c
    And 600 seconds pass
    Then a change by d is refused because of "a"
    And a, b, c have authority and none have not
    When 1300 seconds pass
    Then none have authority and a, b, c have not
    And d accepts a change
    And no entry ever honoured a replaced configuration

  Scenario: A paused process resumes with an old configuration
    Given established entries a, b and c
    When c is paused
    And a accepts a change
    And 60 seconds pass
    And c resumes
    Then a, b have authority and c have not
    When 3 seconds pass
    Then a, b, c have authority and none have not
    And c runs under a new incarnation
    And no entry ever honoured a replaced configuration

  Scenario: A removed member reaches its peers but not the store
    Given established entries a, b and c
    When c is partitioned from everything
    And 30 seconds pass
    And c reaches its peers but not the store
    And 10 seconds pass
    Then a, b have authority and c have not
    When all partitions heal
    And 3 seconds pass
    Then a, b, c have authority and none have not

  Scenario: Entries that know of a change restart while they cannot read it
    Given established entries a, b and c
    When c is partitioned from everything
    And a accepts a change
    And a and b restart while the store is down and reach c
    And 10 seconds pass
    Then none have authority and a, b, c have not
    And no entry ever honoured a replaced configuration

  Scenario Outline: Consent with <who> <field> at <value>
    Given an entry in an outage whose peer consents
    When <who> <field> is <value>
    Then authority is "<authority>"

    Examples:
      | who   | field         | value  | authority                   |
      | peer  | configuration | 6      | outage consent              |
      | peer  | incarnation   | "i9"   | has not answered            |
      | peer  | sent_at       | 97.1   | outage consent              |
      | peer  | sent_at       | 97.0   | does not answer             |
      | peer  | store_failing | False  | reaches the store           |
      | peer  | contact_age   | 2.9    | reached the store 3.9 s ago |
      | peer  | contact_age   | 3.0    | outage consent              |
      | peer  | contact_age   | None   | outage consent              |
      | peer  | configuration | 8      | holds a newer configuration |
      | peer  | members       | 5      | holds a newer configuration |
      | entry | store_failing | False  | last confirmed 40.0 s ago   |
      | entry | read_at       | -1699  | outage consent              |
      | entry | read_at       | -1700  | unreachable for 1800 s      |
      | entry | read_at       | 96.1   | fresh                       |
      | entry | registered_at | 61.0   | not been confirmed yet      |
      | entry | read_at       | None   | not been confirmed yet      |
      | entry | listed        | False  | no longer a registered      |
      | entry | owner         | ""     | not registered yet          |

  Scenario Outline: A relayed confirmation with <who> <field> at <value>
    Given an entry in an outage whose peer consents
    And the peer confirmed its configuration 1.5 seconds ago
    When <who> <field> is <value>
    Then the confirmation that it relays is from <second>

    Examples:
      | who   | field         | value | second |
      | peer  | sent_at       | 98.0  | 96.5   |
      | peer  | incarnation   | "i9"  | None   |
      | peer  | known         | False | None   |
      | peer  | confirmed_age | None  | None   |
      | peer  | configuration | 6     | None   |
      | peer  | configuration | 8     | None   |
      | peer  | members       | 3     | None   |
      | peer  | members       | 5     | None   |
      | entry | registered_at | 98.0  | None   |
      | entry | listed        | False | None   |

  Scenario Outline: A second process named c <process> registers
    Given established entries a, b and c
    Then a new process c <process> is <outcome>

    Examples:
      | process       | outcome                    |
      | at address c  | registered in its place    |
      | at address c2 | refused until c is removed |

  Scenario Outline: Random partitions, kills, pauses, restarts and changes
    Then no sequence of <events> random events with seed <seed> breaks the invariant

    Examples:
      | events | seed |
      | 12     | 1    |
      | 24     | 2    |

  @long
  Scenario Outline: Many random partitions, kills, pauses, restarts and changes
    Then no sequence of <events> random events with seed <seed> breaks the invariant in 3000 runs

    Examples:
      | events | seed |
      | 16     | 11   |
      | 40     | 12   |
