Feature: The examples of the language page work
  Guards against documentation of commands that the program does not accept.

  Scenario: All commands of the page are accepted in their order
    When the commands of the language page are applied
    Then at least 30 commands of the page were accepted
    And every command of the language has an example

  Scenario: All queries of the page are evaluated
    When the queries of the language page are evaluated
    Then at least 10 queries of the page were evaluated
    And every subject has an example, and the page lists its columns

  Scenario: The page names the limits of the program
    Then the page says "at most 1,000 lines and 256 KiB"
    And the page says "up to 2,000 versions back"
    And the page says "at most 500 rows"

  Scenario: The operators' page explains every warning and every exit code
    Then the operators' page has a row for every event that warns
    And the operators' page has a row for every exit code of the program
