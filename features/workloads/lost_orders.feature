Feature: Orders whose response is lost, and the marks they leave on endpoints

  Scenario Outline: An idle endpoint is polled once a fence is required
    # Guards against a sound endpoint that gets no work for as long as the leader leads (LOST,
    # review/8): nobody woke its loop, which waited without a limit.
    Given a leader that polls an endpoint without runs
    When its instance is <ordered>
    Then the endpoint may get tasks again within 1 s

    Examples:
      | ordered                                                 |
      | in maintenance already, which a repeated order shows    |
      | to be moved, and the platform rejects that              |
      | to be moved, and there is no response                   |

  Scenario: A pace whose order had no response is ordered again
    # Guards against best-effort tasks that stay slow for good: the order had been carried out,
    # and the leader took the pace before it for the present one.
    Given a best-effort task whose pace of 40 % was ordered without a response
    When its neighbours are below their target again
    Then its pace is ordered again, until an order is answered
