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
