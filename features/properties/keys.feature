Feature: A withdrawn key is rejected within seconds
  Guards against an entry that continues to honour a key because it cannot learn of the
  withdrawal. The bound is the 6 s within which a configuration change is in force.

  Scenario Outline: Nothing starts under a withdrawn key when <fault>
    Given a fleet of three entries in two data centres
    When the key of team hotels is withdrawn at 4 seconds and <fault>
    Then no job starts under the key more than 6 seconds after the command
    And no job starts under the key once the command says that it is in force
    And other teams' jobs have no violation

    Examples:
      | fault                                       |
      | nothing fails                               |
      | an entry is paused                          |
      | an entry is killed                          |
      | a data centre is partitioned                |
      | a data centre is partitioned from the store |
      | the store is slow                           |
      | the store loses responses                   |

  Scenario: A change is refused at an entry that cannot reach the members
    Given a fleet of three entries in two data centres
    When all entries lose their connection to the store and a new entry is started
    Then the new entry refuses to withdraw a key and names the members
    And the old entries still run keyed jobs

  @long
  Scenario: An outage of the store alone does not stop keyed jobs
    Given a fleet of three entries in two data centres
    When jobs of all teams arrive for 70 seconds and the store is down for a minute
    Then the records have no violation
    And at least 95 in 100 jobs finish
