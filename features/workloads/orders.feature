Feature: Orders without an answer

  Scenario: A start without an answer is settled beside a look that waits
    # Pattern: applied_late, answer_lost. The order was settled after the look that waited
    # for an end, up to 1.2 s later, and its job was late.
    Given a leader that looks at an endpoint, and a look that waits
    When the answer to a start is lost and nothing runs there
    Then a look with a higher token settles it within 0.3 s
    And the task is started again

  Scenario: A look that reaches an endpoint after a later one
    # trouble-1 (co-operative, grown): bytes that a cut had held up arrived after a look
    # with a higher token, and their refusal ended the term. Nothing ran for 1.8 s.
    Given a leader that looks at an endpoint, and a look that waits
    When an order there gets no answer, and the look is refused for its token
    Then the term goes on

  Scenario: A look with the highest token of this leader is refused
    Given a leader that looks at an endpoint, and a look that waits
    When the look is refused for its token
    Then the term has ended, and the log tells why

  Scenario: Endpoints are looked at as soon as the leader has its authority back
    # Found while the looks were given a module of their own: after an outage without
    # consent, an endpoint was looked at only with the next start there.
    Given a leader without authority, whose endpoint has a run
    When it has its authority back
    Then the endpoint is looked at within 1 s

  Scenario: Authority is back before its loss was noted
    # Hunt ce56, mix --seed 441574889541 (co-operative): LOST 5. The runs of an endpoint that
    # had gone were never dropped; a lease that was renewed late leaves nobody to wake its
    # looks.
    Given a leader without authority, whose endpoint has a run
    When its authority is back before a plan was due
    Then the endpoint is looked at within 1 s
