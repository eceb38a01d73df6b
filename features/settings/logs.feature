Feature: Log lines under load

  Scenario: Warnings are written when lines of single runs exceed the rate
    # trouble-1 (co-operative, grown): the warning that told why the term had ended was
    # dropped among 165 lines of runs.
    Given an output that takes all lines
    When 900 lines and then 10 warnings are logged within a second
    Then all warnings are written, and 300 lines are counted as dropped
