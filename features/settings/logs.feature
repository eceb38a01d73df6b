Feature: Log lines under load

  Scenario: Warnings are written when lines about runs exceed the rate limit
    # Seen in trouble-1 (co-operative, grown): the warning with the reason for the end of
    # the term was dropped together with 165 lines of runs.
    Given a log output that accepts all lines
    When 900 lines and then 10 warnings are logged within a second
    Then all warnings are written, and 300 lines are counted as dropped

  Scenario: Lines over the rate are not made
    # Guards against a leader that spends a tenth of its time in a burst on lines that are
    # dropped, and against a count of lines that would not have been written anyway.
    Given a log output that accepts all lines
    When 900 events of the level "INFO" are logged within a second, and then 50 below it
    Then 600 of their lines have been made, and 300 are counted as dropped
