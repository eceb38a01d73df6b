Feature: The adapter's calls to endpoints against a stand-in

  Scenario Outline: What an endpoint answers to a start
    Given an endpoint
    When a start is ordered <how>
    Then the answer is "<answer>"

    Examples:
      | how                               | answer  |
      | for the first time                | started |
      | twice                             | started |
      | with a lower token                | fenced  |
      | with the number of a stopped run  | old     |
      | past its deadline                 | late    |
      | for another incarnation           | replaced |

  Scenario Outline: What an endpoint that misbehaves means
    Given an endpoint
    When it is "<fault>" and a start is ordered
    Then the order is <verdict>

    Examples:
      | fault  | verdict                 |
      | busy   | refused as "unhealthy"  |
      | many   | refused as "unhealthy"  |
      | reset  | unknown                 |
      | silent | unknown                 |

  Scenario: Ends are listed until they are acknowledged
    Given an endpoint
    When a run of 0.1 s is started and looked at with a wait
    Then the look tells the success within 0.5 s
    And a look without an acknowledgement tells it again
    And a look with an acknowledgement does not

  Scenario Outline: Whether a refused connection proves the end of an endpoint
    # srv_crash closes connections in order, cuts with resets reset them; endpoints
    # behind a cut run on.
    Given an endpoint
    When connections to it end by "<end>" and new ones are refused
    Then the end of the endpoint is <proved>

    Examples:
      | end   | proved     |
      | close | proved     |
      | reset | not proved |

  Scenario: Runs lapse without word
    Given an endpoint
    When a run of 5 s is started with a deadline 0.2 s ahead and nobody looks for 0.4 s
    Then a look tells the end "lapsed"

  Scenario: A connection that this side gave up proves nothing
    # Hunt 752a-3 and mix --seed 261820620045 (co-operative): TWICE. After the first reset
    # of a cut, the other connections were closed here, and that was taken for an end.
    Given an endpoint
    When a look waits, this side gives its connections up and new ones are refused
    Then the end of the endpoint is not proved

  Scenario: One lost answer leaves the other calls to its address alone
    # Trial on trouble-2 (Msasani, grown): each lost answer of the store also gave up the
    # calls beside it, whose outcomes became unknown.
    Given an endpoint
    When a look waits, this side gives its connections up and the run it waits for ends
    Then the look tells the success
