Feature: Log lines under load

  Scenario: Warnings are written when lines about runs exceed the rate limit
    # Seen in trouble-1 (co-operative, grown): the warning with the reason for the end of
    # the term was dropped together with 165 lines of runs.
    Given a log output that accepts all lines
    When 900 lines and then 10 warnings are logged within a second
    Then all warnings are written, and 300 lines are counted as dropped
