Feature: Instances move only for lasting demand
  Guards against moves that cost more capacity than they add.

  Scenario Outline: Short bursts of demand move no instance
    Guards against flapping between pools that burst in turn.
    Given deployment <number>
    When each queue in turn demands 5 times its mean for 10 minutes with seed <seed>
    Then no instance moves
    And a simple threshold rule makes at least 5 moves in the same time

    Examples:
      | number | seed |
      | 1      | 1    |
      | 1      | 2    |
      | 2      | 1    |
      | 2      | 2    |

  Scenario Outline: Lasting demand is met from the spare pool first
    Given pools "a", "b" and the spare pool "reserve" with 3 instances each
    When pool "a" demands <a> slots and pool "b" demands <b> for <seconds> s
    Then the chosen moves are "<moves>"

    Examples:
      | a  | b  | seconds | moves        |
      | 23 | 5  | 2000    |              |
      | 32 | 5  | 300     |              |
      | 32 | 5  | 400     | reserve to a |
      | 32 | 32 | 400     | reserve to a |
      | 25 | 5  | 400     |              |
      | 25 | 5  | 2000    | reserve to a |

  Scenario Outline: The weights decide how long a small shortage must last
    Given pools "a", "b" and the spare pool "reserve" with 3 instances each
    And the weights buffer <buffer>, moves <moves_weight>, share <share>
    When pool "a" demands 25 slots and pool "b" demands 5 for 500 s
    Then the chosen moves are "<moves>"

    Examples:
      | buffer | moves_weight | share | moves        |
      | 3      | 3            | 1     |              |
      | 1      | 1            | 3     | reserve to a |

  Scenario: Another pool gives an instance when the spare pool is empty
    Given pools "a", "b" and the spare pool "reserve" with 3 instances each
    And the spare pool has no serving instance
    When pool "a" demands 32 slots and pool "b" demands 2 for 400 s
    Then the chosen moves are "b to a"

  Scenario Outline: Instances in an evacuated data centre are no capacity for moves
    Guards against a move of an instance at which no job can start, after which the pool's
    budget is used up until the data centre returns, and against a shortage that is not
    seen, since such instances count.
    Given pools "a", "b" and the spare pool "reserve" with 3 instances each
    And <evacuated> are in an evacuated data centre
    And each pool has a budget of 3
    When pool "a" demands <a> slots and pool "b" demands 5 for 400 s
    Then the chosen instances are "<instances>"

    Examples:
      | evacuated                          | a  | instances |
      | none                               | 32 | reserve-0 |
      | reserve-0                          | 32 | reserve-1 |
      | reserve-0, reserve-1, reserve-2    | 32 | b-0       |
      | reserve-0, reserve-1, b-0          | 32 | reserve-2 |
      | a-0                                | 22 | reserve-0 |
      | none                               | 22 |           |

  Scenario Outline: A stopping instance counts as incoming unless it is evacuated
    Guards against a pool that waits for an instance at which no job will start.
    Given pools "a", "b" and the spare pool "reserve" with 3 instances each
    And <evacuated> are in an evacuated data centre
    And each pool has a budget of 3
    And "a-0" is rebooting
    When pool "a" demands 24 slots and pool "b" demands 5 for 2000 s
    Then the chosen instances are "<instances>"

    Examples:
      | evacuated | instances |
      | none      |           |
      | a-0       | reserve-0 |

  Scenario Outline: A recent move is not reversed
    Given pools "a", "b" and the spare pool "reserve" with 3 instances each
    And an instance moved from "<before>" to "<after>" <ago> s before the decision
    When pool "a" demands 32 slots and pool "b" demands 5 for 400 s
    Then the chosen moves are "<moves>"

    Examples:
      | before  | after   | ago | moves        |
      | b       | reserve | 500 | b to a       |
      | b       | reserve | 700 | reserve to a |
      | a       | b       | 500 |              |
      | a       | b       | 700 | reserve to a |

  Scenario Outline: A move waits for the budgets of both pools
    Given pools "a", "b" and the spare pool "reserve" with 3 instances each
    And one instance of pool "<pool>" is failed
    When pool "a" demands 32 slots and pool "b" demands 12 for 400 s
    Then the chosen moves are "<moves>"

    Examples:
      | pool    | moves        |
      | a       |              |
      | reserve |              |
      | b       | reserve to a |

  Scenario: The planner carries out a move, and each instance has one pool throughout
    Given pools "a", "b" and the spare pool "reserve" with 3 instances each
    When the planner runs for 500 s while pool "a" demands 32 slots
    Then 1 instance moved from "reserve" to "a" and serves
    And no change violated an invariant

  Scenario: No instance moves while an entry's demand is unknown
    Guards against slots that look idle because their entry is partitioned.
    Given pools "a", "b" and the spare pool "reserve" with 3 instances each
    When the planner runs for 900 s while 1 of 2 entries answers
    Then no instance is rebooted

  Scenario Outline: Demand is not considered lasting across a gap in the samples
    Given pools "a", "b" and the spare pool "reserve" with 3 instances each
    When pool "a" demands 32 slots for 400 s, with no samples in the middle for <gap> s
    Then the chosen moves are "<moves>"

    Examples:
      | gap | moves        |
      | 30  | reserve to a |
      | 90  |              |

  Scenario Outline: Measures are computed from samples
    Guards against an inverted measure.
    Then measure "<measure>" of <sample> is <value>

    Examples:
      | measure  | sample                                      | value                |
      | buffer   | [[10, 4, 2], [10, 2, 2]]                    | 0.5                  |
      | buffer   | [[10, 2, 3]]                                | 0.0                  |
      | roll-out | [[5, "leave"], [9, "serve"], [30, "serve"]] | 25.0                 |
      | roll-out | [[5, "leave"]]                              | 0.0                  |
      | share    | [[{"x": 4, "y": 4}, {"x": 6, "y": 2}]]      | 0.25                 |
      | share    | [[{"x": 6, "y": 2}, {"x": 6, "y": 2}]]      | 0.0                  |
      | entitled | [{"x": 3, "y": 1}, {"x": 99, "y": 99}, 8]   | {"x": 6.0, "y": 2.0} |
      | entitled | [{"x": 3, "y": 1}, {"x": 1, "y": 99}, 8]    | {"x": 1.0, "y": 7.0} |
      | entitled | [{"x": 3, "y": 1}, {"x": 1, "y": 2}, 8]     | {"x": 1.0, "y": 2.0} |
