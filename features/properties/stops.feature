Feature: Planned stops interrupt no request
  Guards against a caller that loses its response because of maintenance.

  Scenario Outline: No request is interrupted when <stop>
    Given a fleet of three entries in two data centres
    When jobs of all teams arrive for 14 seconds and <stop>
    Then the records have no violation
    And no caller lost its connection
    And at least 99 in 100 jobs finish
    And no planned stop exceeded an availability budget

    Examples:
      | stop                               |
      | an entry is stopped                |
      | a wave reboots a pool              |
      | an entry is stopped during a wave  |

  @long
  Scenario: None of 2,000 requests is interrupted while entries stop during a wave
    Given a fleet of three entries in two data centres
    When jobs of all teams arrive for 55 seconds and an entry is stopped during a wave
    Then the records have no violation
    And no caller lost its connection
    And at least 99 in 100 jobs finish
    And no planned stop exceeded an availability budget
