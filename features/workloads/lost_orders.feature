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
