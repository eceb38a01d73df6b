Feature: A store that loses responses and executes calls late

  Scenario Outline: A write counts as done only if the store holds it
    # Guards against successes that are acknowledged to endpoints and not recorded, whose
    # tasks the next leader starts again. A write that was given up after it had been
    # executed was taken for the next one, since both had the same number.
    Given a leader whose write is executed, with all responses lost
    When it is given up because <reason>, and another write follows
    Then the store holds the other write
    And writes go on

    Examples:
      | reason                     |
      | its lease has ended        |
      | it is cancelled            |
      | a response is not readable |

  Scenario: A new lease is that of the leader item
    # Guards against two leaders: a leader that renews one lease while the store has bound
    # the leader item to another one has authority when another entry takes over.
    Given a leader whose lease has ended, with the response to its write of a new one lost
    When the store says that this lease has ended too, and 5 s pass
    Then another entry leads only while the leader has no authority

  Scenario: An attempt to lead is not taken for an earlier one
    # Guards against two leaders in the same way: the first attempt, with a lease of its
    # own, was executed during the second one, whose response was lost.
    Given an attempt of an entry to lead that gets no response and is executed late
    When its second attempt gets no response either, and 5 s pass
    Then another entry leads only while the leader has no authority

  Scenario Outline: Nothing is taken for written that the store does not hold
    # Guards against the same faults in orders of events that nobody has thought of.
    Given 3 entries whose calls to the store get lost and are executed late
    When losses, cuts and restarts come at random for 200 s, with seed <seed>
    Then no two entries have authority at a time
    And no write counts as done that the store does not hold
    And one entry leads in the end

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 51   |
      | 72   |

  Scenario Outline: No entry acts on a promise that nobody keeps
    # Guards against two leaders around outages in which the leader goes on with the consent
    # of all members: entries restart, are cut off and reach the store one after the other.
    Given 3 entries whose calls to the store get lost and are executed late
    When outages, cuts and restarts come at random for 150 s, with seed <seed>
    Then no two entries have authority at a time
    And no write counts as done that the store does not hold
    And one entry leads in the end

    Examples:
      | seed |
      | 9    |
      | 11   |
      | 13   |
      | 14   |
      | 15   |
      | 17   |
