Feature: Measurements of a leader's plans

  Scenario: Each plan that is measured can be decided
    # Guards against measurements that end with an error, since a decision that they call
    # has changed: bench/decisions.py ended with a TypeError once shares took job ids.
    Given a size of 12 endpoints, 2 pools and 3 teams, with 5 waiting jobs a pool
    When each plan of the measurements is decided twice for a fleet of this size
    Then none has raised an error
