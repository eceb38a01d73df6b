Feature: A team's upper limit is divided among entries
  Guards against more running jobs than the limit, and against grants that stay at
  entries without demand.

  Scenario Outline: Grant rows of <case>
    Given rows "<rows>" and a limit of <limit> for entries a, b and c
    And entry <entry> with <running> running and <waiting> waiting jobs
    And demands "<demands>"
    When entry <entry> plans its grants
    Then the rows are "<planned>" and it may run <may> jobs

    Examples:
      | case                                         | rows           | limit | entry | running | waiting | demands | planned       | may |
      | the first entry                              | none           | 10    | a     | 0       | 0       | none    | a=4           | 0   |
      | a later entry                                | a=4            | 10    | b     | 0       | 0       | none    | a=4 b=3       | 0   |
      | an entry with more demand than is free       | a=4 b=3        | 10    | c     | 0       | 9       | none    | a=4 b=3 c=3   | 0   |
      | an entry with more demand than its even part | none           | 10    | c     | 0       | 9       | none    | c=9           | 0   |
      | an idle entry with demand at a peer          | a=4 b=3 c=3    | 10    | a     | 0       | 0       | c=9     | b=3 c=7       | 1   |
      | an idle entry with demand at two peers       | a=4 b=3 c=3    | 10    | a     | 1       | 0       | b=1 c=9 | a=1 b=4 c=5   | 1   |
      | a busy entry with demand at a peer           | a=10           | 10    | a     | 10      | 5       | c=9     | a=10          | 5   |
      | a busy entry whose jobs ended                | a=10           | 10    | a     | 5       | 5       | c=9     | a=5 c=5       | 5   |
      | a reserve that is kept                       | a=34 b=33 c=33 | 100   | a     | 0       | 0       | c=99    | a=3 b=33 c=64 | 1   |
      | an entry with demand reported by itself      | a=4 b=3 c=3    | 10    | a     | 0       | 0       | a=9     | a=4 b=3 c=3   | 4   |
      | an entry with demand at a non-member         | a=4 b=3 c=3    | 10    | a     | 0       | 0       | x=9     | a=4 b=3 c=3   | 4   |
      | an entry when no demand is left              | a=10           | 10    | a     | 0       | 0       | none    | a=4 b=3 c=3   | 10  |
      | a lowered limit                              | a=4 b=3 c=3    | 5     | a     | 0       | 9       | c=9     | a=2 b=3 c=3   | 2   |
      | a lowered limit with running jobs            | a=4 b=3 c=3    | 5     | a     | 3       | 9       | none    | a=3 b=3 c=3   | 2   |
      | a team that was removed                      | a=4 b=3 c=3    | 0     | a     | 1       | 0       | none    | a=1 b=3 c=3   | 0   |
      | an owner that stopped                        | a=4 x=6        | 10    | a     | 0       | 0       | none    | a=4           | 4   |

  Scenario: A compare-and-swap without a response binds while it may take effect
    Given entry a that holds 10 of 10 idle jobs at revision 5
    When the response to the compare-and-swap that gives them away is lost
    Then entry a may run 4 jobs
    When it reads the same rows at revision 5
    Then entry a may run 4 jobs
    When it reads the same rows at revision 6
    Then entry a may run 10 jobs

  Scenario Outline: Random sequences with <entries> entries keep the limit
    Then no sequence of <events> random events with seed <seed> exceeds the limit

    Examples:
      | entries | events | seed |
      | 3       | 150    | 21   |
      | 3       | 400    | 22   |

  Scenario Outline: Utilization of a limit of <limit> over <entries> entries
    When jobs of <run> s are queued
    Then at least 0.9 is in use while demand is spread evenly
    And at least 0.75 is in use while jobs arrive at random entries
    And at least 0.8 is in use 2 s after all demand moved to one entry

    Examples:
      | entries | limit | run |
      | 9       | 20    | 0.5 |
      | 9       | 200   | 0.1 |
      | 16      | 60    | 0.5 |
