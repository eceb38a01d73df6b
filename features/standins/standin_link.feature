Feature: Contract of the link stand-in
  Guards against faults without effect: tests of partitions would pass although bytes
  still get through.

  Background:
    Given an endpoint stand-in behind a link

  Scenario Outline: A fault affects only the connections and directions that it names
    Given the link has the faults <faults>
    When a task is posted through the link
    Then the caller through the link gets <answer>
    And the endpoint behind the link ran <ran>

    Examples:
      | faults                         | answer              | ran |
      | {}                             | the whole answer    | 1   |
      | {"cut": true}                  | a broken connection | 0   |
      | {"silent": true}               | silence             | 0   |
      | {"silent": "to_target"}        | silence             | 0   |
      | {"silent": "to_client"}        | silence             | 1   |
      | {"close_after_to_target": 40}  | a broken connection | 0   |
      | {"close_after_to_client": 40}  | a part of an answer | 1   |
      | {"delay_ms": 100}              | the whole answer    | 1   |

  Scenario Outline: A fault on an open connection
    Given a task of 300 ms is posted through the link
    When the link gets the faults <faults>
    Then the caller through the link gets <answer>
    And a new task through the link is answered: <new>

    Examples:
      | faults                | answer              | new |
      | {"cut": true}         | a broken connection | no  |
      | {"silent": true}      | silence             | no  |
      | {"silent_open": true} | silence             | yes |

  Scenario: Bytes that were held back arrive when the link heals
    Given the link has the faults {"silent": true}
    When a task is posted through the link
    Then the caller through the link gets silence
    When the link gets the faults {}
    Then the caller through the link gets the whole answer

  Scenario: A request that was held back arrives although its caller has closed
    # Guards against plays that hold nothing: calls give up before a partition ends.
    Given the link has the faults {"silent": true}
    When a task is posted through the link
    Then the caller through the link gets silence
    When the caller closes its connection
    And the link gets the faults {}
    Then the endpoint behind the link soon ran 1

  Scenario: Chunks that were lost arrive whole, after a retransmission
    # Guards against plays that lose nothing: each chunk is late by 0.2 to 3 s.
    Given the link has the faults {"loss": 1}
    When a task is posted through the link
    Then the whole answer arrives through the link after 0.4 s or more
