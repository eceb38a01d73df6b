Feature: The adapter's calls to endpoints

  Scenario Outline: Response of an endpoint to a start
    Given an endpoint
    When a start is ordered <how>
    Then the response is "<response>"

    Examples:
      | how                               | response |
      | for the first time                | started  |
      | twice                             | started  |
      | with a lower token                | fenced   |
      | with the number of a stopped run  | old      |
      | past its deadline                 | late     |
      | for another incarnation           | replaced |

  Scenario Outline: Outcome of a start at an endpoint with a fault
    Given an endpoint
    When the fault "<fault>" is set and a start is ordered
    Then the order is <outcome>

    Examples:
      | fault  | outcome                 |
      | busy   | refused as "unhealthy"  |
      | many   | refused as "unhealthy"  |
      | reset  | unknown                 |
      | silent | unknown                 |

  Scenario: Ends are listed until they are acknowledged
    Given an endpoint
    When a run of 0.1 s is started and the endpoint is polled with a wait
    Then the poll returns the success within 0.5 s
    And a poll without an acknowledgement returns it again
    And a poll with an acknowledgement does not

  Scenario Outline: A list of ends may not be complete
    # Guards against a task that runs twice (TWICE, read from the code): an endpoint lists
    # 500 ends at a time, and a run that had ended beyond these counted as lost.
    When an endpoint lists <count> ends in response to a poll
    Then it <may> have more ends

    Examples:
      | count | may     |
      | 0     | may not |
      | 499   | may not |
      | 500   | may     |

  Scenario Outline: Refused connections and the end of an endpoint
    # Guards against a task that runs twice (TWICE, soak with refused connections, seeds 1,
    # 4 and 5): a proxy or a listener that is restarted closes connections and refuses new
    # ones, while the endpoint behind it still runs.
    Given an endpoint
    When connections to it end by "<end>" and new ones are refused
    Then the end of the endpoint is not proved

    Examples:
      | end   |
      | close |
      | reset |

  Scenario Outline: A closed connection proves no end of a later process
    # Guards against a task that runs twice (TWICE, read from the code): an endpoint may
    # start again at the address where a process has just ended, and a partition may
    # refuse connections to it. Its runs were taken for ended.
    Given an endpoint
    When a process closes its connection, <event> and new connections are refused
    Then the end of the endpoint is not proved

    Examples:
      | event                                             |
      | a later process responds to a call                |
      | a later process responds with an undecodable body |
      | a later process responds under another name       |
      | a later process gets a call and does not respond  |
      | a later process has another name                  |

  Scenario: Runs end when the run lease expires
    Given an endpoint
    When a run of 5 s is started with a deadline in 0.2 s and not polled for 0.4 s
    Then a poll returns the end "lapsed"
    # Guards against overlaps that the stand-in makes up: it noticed the end by the poll.
    And the stand-in records that the run took less than 0.3 s

  Scenario: A connection that this side has discarded does not prove an end
    # Guards against a task that runs twice (TWICE; hunt 752a-3 and mix --seed
    # 261820620045, co-operative): after the first reset by a partition this side closed
    # its other connections to the endpoint, and took their close for the endpoint's end.
    Given an endpoint
    When a poll waits, this side discards its connections and new ones are refused
    Then the end of the endpoint is not proved

  Scenario: A lost response does not interrupt other calls to the same address
    # Guards against unknown outcomes (trial on trouble-2, Msasani, grown): each lost
    # response of the store also closed the connections of concurrent calls.
    Given an endpoint
    When a poll waits, this side discards its connections and the run it waits for ends
    Then the poll returns the success

  Scenario Outline: An order that is redirected is sent to no other address
    # Guards against an order that is carried out by an endpoint which it does not name
    # (read from the code): the client followed redirects, and sent the order again.
    Given an endpoint
    When a process at another address redirects a start to it with status <status>
    Then the order is unknown
    And the endpoint has received no order

    Examples:
      | status |
      | 307    |
      | 308    |
