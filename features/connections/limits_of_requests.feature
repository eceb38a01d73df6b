Feature: Limits of requests
  Guards against a request inside the limits that is refused, and against one beyond
  them whose bytes are read.

  Scenario Outline: Requests at the limits of the configuration
    Given the door "platform callers" with 200 MB and 1000 descriptors
    When a client sends <request>
    Then it is answered with <status>

    Examples: served
      | request                                             | status  |
      | a head of 16383 bytes in one line                   | 200     |
      | a head of 16384 bytes in one line                   | 200     |
      | a head of 16384 bytes in short lines                | 200     |
      | a head of 16384 bytes in pieces                     | 200     |
      | a body of 262143 bytes                              | 200     |
      | a body of 262144 bytes                              | 200     |
      | a body of 262144 bytes in chunks of 16384           | 200     |
      | a body of 20000 bytes in chunks of 2                | 200     |
      | 8 empty lines and a body of 100 bytes               | 200     |
      | two requests at once                                | 200 200 |
      | a head that expects 100, and then the body          | 100 200 |

    Examples: refused without their body
      | request                                             | status |
      | a head of 16385 bytes in one line                   | 431    |
      | a head of 16385 bytes in short lines                | 431    |
      | a body of 262145 bytes in chunks of 16384           | 413    |
      | only the head of a body of 262145 bytes             | 413    |
      | only the head of a body for an unknown queue        | 404    |
      | only the head of a body with an unknown key         | 401    |
      | only the head of a body with the method PUT         | 405    |
      | a head that expects 100, with an unknown key        | 401    |
      | many invalid chunks                                 | 400    |

  Scenario Outline: Requests at the limits of the product's own interface
    Given the door "product callers" with 200 MB and 1000 descriptors
    When a client sends <request>
    Then it is answered with <status>

    Examples:
      | request                                             | status  |
      | a head of 16384 bytes in one line                   | 200     |
      | a head of 16384 bytes in short lines                | 200     |
      | a head of 16385 bytes in one line                   | 431     |
      | a body of 1048576 bytes                             | 200     |
      | a body of 1048577 bytes in chunks of 16384          | 413     |
      | only the head of a body of 1048577 bytes            | 413     |
      | two requests at once                                | 200 200 |
      | a head that expects 100, and then the body          | 100 200 |

  Scenario: A legal job that takes more memory than the whole budget
    Given the door "platform callers" with 96 MB and 1000 descriptors
    When a client sends a job of 20000 steps
    Then it is answered with 200

  Scenario: A raised limit of heads holds for open connections
    # Guards against connections that callers keep open, and on which legal requests
    # get 400 after the operator has raised the limit.
    Given the door "platform callers" with 200 MB and 1000 descriptors
    When a client sends a request, and a head of 20000 bytes when that is allowed
    Then it is answered with 200 200

  Scenario: A raised limit of heads does not change how bodies are read
    # Guards against opaque bodies that are decompressed after the limit was raised.
    When the limit of a connection that takes bodies as they are is raised
    Then its parser takes bodies as they are

  Scenario: The metrics page shows what clients use
    # Guards against a page that keeps old figures, and against connections that no
    # phase counts.
    Given the door "platform callers" with 200 MB and 1000 descriptors
    When a client sends 1000 bytes of a body of 2000 bytes and waits
    Then the metrics page shows 1 connection with a body, and bytes held
    And the metrics page shows 0 connections with a body when the client has left
