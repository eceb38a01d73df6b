Feature: Keyed work needs a current configuration
  Guards against an entry that honours a withdrawn key because it cannot learn that the
  key was withdrawn. A model of entries a, b, c in three data centres and of the store
  runs on a virtual clock; "then" is written as what each entry may do.

  Scenario Outline: <case>
    Given established entries a, b and c
    When <event>
    And <seconds> seconds pass
    Then <with> have authority and <without> have not

    Examples:
      | case                                   | event                                   | seconds | with    | without |
      | nothing fails                          | nothing happens                         | 10      | a, b, c | none    |
      | the store is down for all              | the store goes down                     | 60      | a, b, c | none    |
      | an outage lasts nearly the longest     | the store goes down                     | 1790    | a, b, c | none    |
      | an outage lasts too long               | the store goes down                     | 1802    | none    | a, b, c |
      | one data centre is cut, just now       | c is cut from everything                | 3       | a, b, c | none    |
      | one data centre is cut                 | c is cut from everything                | 5       | a, b    | c       |
      | one is cut from the store only         | c is cut from the store                 | 120     | a, b, c | none    |
      | two are cut from the store only        | b and c are cut from the store          | 120     | a, b, c | none    |
      | cut from the store and one peer        | c is cut from the store and from a      | 10      | a, b, c | none    |
      | the same until a, unheard, removes c   | c is cut from the store and from a      | 120     | a, b    | c       |
      | the store is down, one member is lost  | the store goes down and c is killed     | 10      | none    | a, b    |
      | the store is down, one member is cut   | the store goes down and c is cut        | 10      | none    | a, b, c |
      | one member is killed                   | c is killed                             | 60      | a, b    | none    |
      | two are cut together                   | b and c are cut together                | 5       | a       | b, c    |

  Scenario: The store goes down and nobody is refused meanwhile
    Guards against keyed work that stops between the end of freshness and the consent.
    Given established entries a, b and c
    When the store goes down
    Then every entry has authority at each moment of 12 seconds

  Scenario: A change that partitioned entries cannot learn
    Given established entries a, b and c
    When b and c are cut together
    And a accepts a change
    And 5 seconds pass
    Then a have authority and b, c have not
    And no entry ever honoured a replaced configuration

  Scenario: All old members are cut together and a new one starts beside the store
    Given established entries a, b and c
    When a, b and c are cut from the store
    And 5 seconds pass
    Then a, b, c have authority and none have not
    When d is started out of their reach
    And 600 seconds pass
    Then the change of d is refused because of "a"
    And a, b, c have authority and none have not
    When 1300 seconds pass
    Then none have authority and a, b, c have not
    And d accepts a change
    And no entry ever honoured a replaced configuration

  Scenario: A paused process wakes with an old configuration
    Given established entries a, b and c
    When c is paused
    And a accepts a change
    And 60 seconds pass
    And c wakes
    Then a, b have authority and c have not
    When 3 seconds pass
    Then a, b, c have authority and none have not
    And c runs under a new incarnation
    And no entry ever honoured a replaced configuration

  Scenario: A removed member comes back while it reaches its peers only
    Given established entries a, b and c
    When c is cut from everything
    And 30 seconds pass
    And c reaches its peers but not the store
    And 10 seconds pass
    Then a, b have authority and c have not
    When everything is joined
    And 3 seconds pass
    Then a, b, c have authority and none have not

  Scenario: Those who know of a change restart where they cannot read it
    Given established entries a, b and c
    When c is cut from everything
    And a accepts a change
    And a and b restart without the store and reach c
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

  Scenario Outline: A process named c <process> registers beside the one that is listed
    Given established entries a, b and c
    Then a new process c <process> is <outcome>

    Examples:
      | process            | outcome                      |
      | at address c       | registered instead           |
      | at address c2      | refused until c is removed   |

  Scenario Outline: Random partitions, kills, pauses, restarts and changes
    Then no sequence of <events> random events with seed <seed> breaks the rule

    Examples:
      | events | seed |
      | 12     | 1    |
      | 24     | 2    |

  @long
  Scenario Outline: Many random partitions, kills, pauses, restarts and changes
    Then no sequence of <events> random events with seed <seed> breaks the rule in 3000 runs

    Examples:
      | events | seed |
      | 16     | 11   |
      | 40     | 12   |
