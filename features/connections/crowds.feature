Feature: Crowds of clients that keep to no limit
  Guards against an entry that runs out of memory or descriptors, or hangs, because of
  what clients send that it has not admitted.

  @alone
  Scenario Outline: Each crowd, at each door for callers
    Given the door "<door>" with <memory> MB and <descriptors> descriptors
    When <count> clients send "<kind>" and stay
    Then the process runs within its memory and descriptors
    And an ordinary request is answered

    Examples: callers on the platform
      | door              | memory | descriptors | count | kind                     |
      | platform callers  | 96     | 1000        | 200   | bodies in pieces         |
      | platform callers  | 96     | 1000        | 200   | bodies at once           |
      | platform callers  | 96     | 1000        | 200   | complete bodies          |
      | platform callers  | 96     | 1000        | 200   | large chunks             |
      | platform callers  | 96     | 1000        | 100   | small chunks             |
      | platform callers  | 96     | 1000        | 200   | heads without end        |
      | platform callers  | 96     | 1000        | 200   | heads over the limit     |
      | platform callers  | 96     | 160         | 200   | empty lines              |
      | platform callers  | 96     | 160         | 200   | requests without reading |
      | platform callers  | 96     | 160         | 200   | nothing                  |
      | platform callers  | 96     | 1000        | 400   | everything               |

    Examples: callers of the product's own interface
      | door              | memory | descriptors | count | kind                     |
      | product callers   | 112    | 1000        | 200   | bodies in pieces         |
      | product callers   | 112    | 1000        | 200   | bodies at once           |
      | product callers   | 112    | 1000        | 200   | complete bodies          |
      | product callers   | 112    | 1000        | 200   | large chunks             |
      | product callers   | 112    | 1000        | 100   | small chunks             |
      | product callers   | 112    | 1000        | 200   | heads without end        |
      | product callers   | 112    | 1000        | 200   | heads over the limit     |
      | product callers   | 112    | 160         | 200   | empty lines              |
      | product callers   | 112    | 160         | 200   | requests without reading |
      | product callers   | 112    | 160         | 200   | nothing                  |
      | product callers   | 112    | 1000        | 400   | everything               |

    Examples: callers of the product's own interface with TLS
      | door                | memory | descriptors | count | kind                  |
      | product TLS callers | 112    | 1000        | 400   | nothing               |
      | product TLS callers | 112    | 1000        | 400   | starts of a handshake |
      | product TLS callers | 112    | 160         | 200   | nothing               |
      | product TLS callers | 112    | 1000        | 200   | bodies in pieces      |
      | product TLS callers | 112    | 1000        | 200   | bodies at once        |
      | product TLS callers | 112    | 1000        | 100   | small chunks          |
      | product TLS callers | 112    | 1000        | 200   | everything            |

    Examples: the other doors
      | door               | memory | descriptors | count | kind       |
      | platform readiness | 96     | 1000        | 400   | everything |
      | platform metrics   | 96     | 1000        | 400   | everything |
      | product operators  | 112    | 1000        | 400   | everything |

  @alone
  Scenario Outline: A crowd and a second trouble
    Given the door "platform callers" with 96 MB and 1000 descriptors
    When 200 clients send "everything" and stay
    And <trouble>
    Then the process runs within its memory and descriptors
    And an ordinary request is answered

    Examples:
      | trouble                                             |
      | the process is frozen while a second crowd comes    |
      | a configuration lowers the limits                   |
      | the entry that leads is lost                        |
      | the process is frozen for longer than its lease     |

  @alone
  Scenario Outline: Jobs of many steps, sent to <where>
    # Valid jobs may be accepted, up to the limit of open work: then an answer is 503.
    Given the door "platform callers" with 112 MB and 1000 descriptors
    When <count> clients of <where> send "jobs of many steps" and stay
    Then the process runs within its memory and descriptors
    And the leader runs within its memory and descriptors
    And an ordinary request gets 200 or 503

    Examples:
      | where                             | count |
      | the leader                        | 40    |
      | another entry                     | 40    |
      | another entry of a frozen leader  | 40    |

  @alone
  Scenario: Jobs of many steps, one after the other
    Given the door "platform callers" with 112 MB and 1000 descriptors
    When a client sends 12 jobs of 20000 steps
    Then the process runs within its memory and descriptors
    And an ordinary request gets 200 or 503

  @alone
  Scenario: A crowd does not keep a process from ending
    Given the door "platform callers" with 96 MB and 1000 descriptors
    When 200 clients send "everything" and stay
    Then the process ends on SIGTERM within its grace
