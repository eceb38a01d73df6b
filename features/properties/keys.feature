Feature: A withdrawn key stops working within seconds
  Guards against an entry that goes on honouring a key because it cannot learn of the
  withdrawal. The bound is the 6 s within which a configuration change is in force.

  Scenario Outline: Nothing starts under a withdrawn key when <fault>
    Given a fleet of three entries in two data centres
    When the key of team hotels is withdrawn at 4 seconds and <fault>
    Then no job starts under the key more than 6 seconds after the command
    And no job starts under the key once the command says that it is in force
    And other teams' jobs have no violation

    Examples:
      | fault                         |
      | nothing fails                 |
      | an entry is paused            |
      | an entry is killed            |
      | a data centre is cut off      |
      | a data centre loses the store |
      | the store is slow             |
      | the store loses answers       |

  Scenario: A change is refused where members may not learn of it
    Given a fleet of three entries in two data centres
    When all entries lose the store and a new entry is started
    Then the new entry refuses to withdraw a key and names the members
    And keyed work goes on through the old entries

  @long
  Scenario: The outage of the store alone does not stop keyed work
    Given a fleet of three entries in two data centres
    When jobs of all teams arrive for 70 seconds and the store is down for a minute
    Then the records have no violation
    And at least 95 in 100 jobs finish
