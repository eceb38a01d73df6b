Feature: Callers return after an outage at a pace that the leader can take

  Scenario Outline: A crowd is refused during an outage
    # Guards against a leader that all callers of an outage ask again in the same second
    # (pattern: burst during an outage), urgent ones behind ordinary ones.
    Given at most <accepted> jobs a second that an entry had accepted
    When it refuses <urgent> urgent and <ordinary> ordinary callers within a second
    Then the urgent callers return within <urgent s> s and the ordinary within <s> s
    And at most <most> callers return in one second

    Examples:
      | accepted | urgent | ordinary | urgent s | s | most |
      | 0        | 1      | 4        | 1        | 1 | 10   |
      | 20       | 20     | 20       | 1        | 2 | 40   |
      | 20       | 40     | 60       | 2        | 4 | 40   |
      | 20       | 0      | 400      | 0        | 8 | 50   |

  Scenario: An outage that lasts
    # Guards against urgent callers who come back after ordinary ones.
    Given at most 20 jobs a second that an entry had accepted
    When it refuses 30 ordinary callers, and 20 urgent ones 0.5 s later
    Then the urgent callers return within 1 s and the ordinary within 2 s

  Scenario: Long ago
    # Guards against a pace that was reached once.
    Given at most 1000 jobs a second that an entry had accepted
    When 60 s have passed, and it refuses 40 ordinary callers
    Then at most 10 callers return in one second
