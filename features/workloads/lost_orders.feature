Feature: Orders whose response is lost, and the marks they leave on endpoints

  Scenario Outline: An endpoint gets tasks again after maintenance whose response was lost
    # Guards against a sound endpoint that gets no work for as long as the leader leads (LOST,
    # review/8): the endpoint that came up after the maintenance was drained for a repeated
    # order, and the wave was closed before the mark was taken away.
    Given a wave over 1 instance, and responses that are lost for <lost> s
    When the wave is carried out, <event>
    Then the instance is maintained once, and the wave is completed
    And its endpoint may get tasks <most> s after it has come up
    And no endpoint is marked as evicting in the end

    Examples:
      | lost | event                                | most |
      | 0    | nothing else happens                 | 0.5  |
      | 1    | nothing else happens                 | 0.5  |
      | 2    | nothing else happens                 | 2    |
      | 5    | nothing else happens                 | 6    |
      | 1    | the leader changes as it begins      | 2    |
      | 5    | the leader changes as it begins      | 6    |

  Scenario: A wave that is closed leaves no mark beside another
    Given two waves over the same instance, and responses that are lost for 1 s
    When the waves are carried out
    Then the instance is maintained twice, and both waves are completed
    And no endpoint is marked as evicting in the end

  Scenario: A busy instance keeps its place while an order has no response
    # Guards against more instances in maintenance than the wave allows (LIMIT): the repeated
    # order met an instance whose maintenance had begun, and the list was older.
    Given a wave over 2 instances with a maximum of 1, whose first response is lost
    When the repeated order is answered with "busy"
    Then the other instance is not ordered

  Scenario: Endpoints get tasks again while the instance list cannot be read
    # Guards against endpoints without work (LOST) for the length of an outage of the
    # platform, in which nothing can be ordered.
    Given a wave over 2 instances that are being drained, one order without a response
    When the instance list cannot be read for 4 s
    Then only the endpoint whose maintenance may begin at any time is drained

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

  Scenario Outline: A crash long after an order without a response counts as evidence
    # Guards against a task that crashes endpoints and is never given up (BUDGET): the mark of
    # an order that was lost outlived it.
    Given an endpoint whose instance was ordered into maintenance without a response
    When it has responded <seconds> s later, and crashes then
    Then the crash <verdict>

    Examples:
      | seconds | verdict            |
      | 5       | counts as expected |
      | 11      | counts as evidence |

  Scenario: A pace whose order had no response is ordered again
    # Guards against best-effort tasks that stay slow for good: the order had been carried out,
    # and the leader took the pace before it for the present one.
    Given a best-effort task whose pace of 40 % was ordered without a response
    When its neighbours are below their target again
    Then its pace is ordered again, until an order is answered

  Scenario: A pace that is carried out late does not replace a later one
    # Guards against best-effort tasks that stay slow for good (LOST, issue 52): the leader
    # takes the pace that was answered for the present one.
    Given a best-effort task whose pace of 40 % was ordered without a response
    When its neighbours are below their target again
    And the order of 40 % is carried out then
    Then the endpoint has refused it

  Scenario: Endpoints are not retired without a pool to move them to
    # Guards against endpoints without work (LOST) after a change of the configuration.
    Given a retiring endpoint, and a configuration that has no standby pool any more
    When moves are planned
    Then the endpoint is not retiring
