Feature: Orders without an answer

  Scenario: A start without an answer is settled beside a look that waits
    # Pattern: applied_late, answer_lost. The order was settled after the look that waited
    # for an end, up to 1.2 s later, and its job was late.
    Given a leader that looks at an endpoint, and a look that waits
    When the answer to a start is lost and nothing runs there
    Then a look with a higher token settles it within 0.1 s
    And the task is started again

  Scenario: A look that waited with an earlier token is refused
    Given a leader that looks at an endpoint, and a look that waits
    When it is refused for its token after a look with a higher one
    Then the term goes on
