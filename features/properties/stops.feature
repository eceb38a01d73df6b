Feature: Planned stops cut off no request
  Guards against a caller that loses its answer because of maintenance.

  Scenario Outline: No request is cut off when <stop>
    Given a fleet of three entries in two data centres
    When jobs of all teams arrive for 12 seconds and <stop>
    Then the records have no violation
    And no caller lost its connection
    And at least 99 in 100 jobs finish
    And no pool was ever below its availability budget

    Examples:
      | stop                                  |
      | an entry is stopped                   |
      | a wave reboots a pool                 |
      | an entry is stopped during a wave     |
      | a wave's planner is killed and it goes on |
