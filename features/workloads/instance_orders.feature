Feature: Orders for instances where the platform does not refuse old ones

  Scenario Outline: An order without a response is not followed by another too soon
    # Guards against a lower token after a higher one (ONE): the order without a
    # response may be delivered after the next one, and is carried out then.
    Given a platform that <refuses> old orders
    And a wave whose order for "m1" gets no response
    When the leader decides again for <seconds> s
    Then "m1" has been ordered <times>

    Examples:
      | refuses        | seconds | times      |
      | refuses        | 2       | repeatedly |
      | doesn't refuse | 2       | once       |
      | doesn't refuse | 4       | repeatedly |

  Scenario: An order waits for those that were sent with the one before
    # Guards against a lower token after a higher one (ONE): one of several orders
    # failed at once, and the next step ordered again while another one was on its way.
    Given a platform that doesn't refuse old orders
    And a wave whose order for "m1" takes 1.4 s, and for "m2" is not executed
    When the leader decides again for 1.2 s
    Then "m1" has been ordered once

  Scenario Outline: A move is recorded before it is ordered
    # Guards against two holders within the lease time and a lower token after a higher
    # one (ONE): a leader that ends before the next write leaves no trace of the move.
    Given a platform that <refuses> old orders
    And a pool that is short of an instance, and "m1" in reserve
    When the leader moves "m1" while the store takes no writes
    Then "m1" has been ordered <times>

    Examples:
      | refuses        | times    |
      | refuses        | once     |
      | doesn't refuse | 0 times  |

  Scenario: An instance that gets a run while its move is recorded does not move
    # Guards against an outage beyond the budget (AVAIL): the record takes time, in
    # which an instance may restart and be used.
    Given a platform that doesn't refuse old orders
    And a pool that is short of an instance, and "m1" in reserve
    When the leader moves "m1", and a run starts there while the move is recorded
    Then "m1" has been ordered 0 times

  Scenario: A completed wave names the instances that were ordered just before
    # Guards against two holders that order one instance within the lease time (ONE):
    # the record of a completed wave did not name them.
    Given a platform that doesn't refuse old orders
    And a wave over "m1" that has begun and is completed
    When a new leader has led for less than the lease time
    Then it orders nothing for "m1" in another wave
    When the lease time has passed since
    Then it orders "m1" in another wave

  Scenario: Tokens rise for each instance, whatever order of delivery a platform has
    # Guards against a lower token after a higher one (ONE) on any delay of deliveries
    # that ends with the time-out of the connection.
    Given a platform that doesn't refuse old orders
    When 3 leaders in turn order waves and moves, with deliveries that are late at random
    Then the tokens that reach each instance rise
