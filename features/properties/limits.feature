Feature: No team runs more than its upper limit
  Guards against entries that together run more than a team's limit.

  Scenario Outline: The limit holds under five times the capacity when <fault>
    Given a fleet whose teams have limits of 12 and 6 jobs
    When jobs for five times the limits arrive at every entry for 10 seconds and <fault>
    Then the records have no violation

    Examples:
      | fault                        |
      | nothing fails                |
      | an entry is killed           |
      | an entry is paused           |
      | the store is down            |
      | a data centre is partitioned |
      | the store loses responses    |
      | the limit is lowered         |
      | an entry is restarted        |

  @long
  Scenario: The grants of a killed entry are freed
    Given a fleet whose teams have limits of 12 and 6 jobs
    When an entry is killed and its lease and the longest task lease have passed
    Then the remaining entries run 0.9 of the limit

  Scenario: Most of the limit is usable when demand moves to one entry
    Given a fleet whose teams have limits of 12 and 6 jobs
    When all demand moves to one entry
    Then it runs 0.8 of the limit two seconds later
