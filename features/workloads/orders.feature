Feature: Orders without a response

  Scenario: A start order without a response is decided beside a long poll
    # Guards against a late retry (patterns applied_late, answer_lost). The order was
    # decided only after the long poll had returned, up to 1.2 s later, and its job was
    # late.
    Given a leader with a long poll of an endpoint in progress
    When the response to a start is lost and nothing runs there
    Then a poll with a higher token decides it within 0.3 s
    And the task is started again

  Scenario: A poll that reaches an endpoint after a later one
    # Guards against a leader that resigns without need. In trouble-1 (co-operative,
    # grown), a poll delayed by a cut arrived after one with a higher token, and its
    # refusal ended the term. Nothing ran for 1.8 s.
    Given a leader with a long poll of an endpoint in progress
    When an order there gets no response, and the long poll is refused for its token
    Then the term goes on

  Scenario: A poll with the highest token of this leader is refused
    Given a leader with a long poll of an endpoint in progress
    When the long poll is refused for its token
    Then the term has ended, and the log says why

  Scenario: Endpoints are polled as soon as the leader has its authority back
    # Guards against endpoints without polls: after an outage in which the leader had no
    # consent, an endpoint was polled only with the next start there. Found when polling
    # became a module of its own.
    Given a leader without authority, whose endpoint has a run
    When it has its authority back
    Then the endpoint is polled within 1 s

  Scenario: Authority is back before its loss was noticed
    # Guards against runs that are never dropped: hunt ce56, mix --seed 441574889541
    # (co-operative), LOST 5. After a late renewal of the lease, nothing woke the polls
    # of an endpoint that had gone, and its runs were kept.
    Given a leader without authority, whose endpoint has a run
    When it has its authority back before a plan was due
    Then the endpoint is polled within 1 s
