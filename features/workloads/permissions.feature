Feature: Permissions that have run out

  Scenario Outline: An order whose permission expires while it waits is not sent
    # Guards against a process that is paused between its decision and the bytes of the
    # order, and sends the order after another leader has taken over.
    Given a server that counts the bytes it receives
    When an order to it is permitted first, and not any more when <moment>
    Then the order is not executed, and the server has received nothing of it

    Examples:
      | moment                          |
      | a new connection is open        |
      | an idle connection is taken     |
      | a busy connection becomes free  |

  Scenario Outline: A leader that was paused gives no order with its old authority
    Given two entries that serve jobs and a wave
    When the process is paused for <seconds> s before 20 random orders, with seed <seed>
    Then no order is sent without authority
    And no task has run twice at the same time or after its success
    And every accepted job is completed

    Examples:
      | seconds | seed |
      | 0.5     | 1    |
      | 1.1     | 2    |
      | 2.0     | 3    |
      | 5.0     | 4    |
      | 10.0    | 5    |

  Scenario Outline: Endpoints refuse a start that arrives after the leader's authority
    # Guards against orders that are executed late: the deadline of a start was always
    # 4 s ahead.
    Given a leader with authority for <authority> s more
    When it starts a task
    Then the deadline of the order is at most <most> s ahead

    Examples:
      | authority | most |
      | 1.0       | 1.5  |
      | 0.2       | 0.7  |
      | 9.0       | 4.0  |

  Scenario Outline: Consent of an entry counts from the heartbeat that it answers
    # Guards against two leaders: a report that the store is unavailable can be held up
    # on its way for seconds. Meanwhile its sender may have taken over.
    Given a leader of epoch 3 whose store has failed for 2 s
    When an entry without the store answers a heartbeat of epoch <epoch>, sent <age> s ago
    Then its authority lasts <seconds> s more

    Examples:
      | epoch | age  | seconds |
      | 3     | 0.2  | 1.0     |
      | 3     | 1.1  | 0.1     |
      | 3     | 5.0  | 0.0     |
      | 2     | 0.2  | 0.0     |
      | 3     | -1.0 | 0.0     |
