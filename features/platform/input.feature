Feature: Validation of input

  Scenario Outline: Invalid jobs
    # Guards against a job that is accepted and gives capacity back when it starts, and
    # against one whose record cannot be encoded, so that each attempt gets 504.
    When a caller submits <body>
    Then the finding names <place>

    Examples:
      | body                                                                | place         |
      | {"steps":[{"count":1}]}                                             | spec          |
      | {"spec":"x"}                                                        | steps         |
      | {"spec":"x","steps":[]}                                             | steps         |
      | {"spec":"x","steps":[{"count":0}]}                                  | steps.0.count |
      | {"spec":"x","steps":[{"count":"1"}]}                                | count         |
      | {"spec":"x","steps":[{"count":1,"after":[0]}]}                      | steps.0.after |
      | {"spec":"x","steps":[{"count":1},{"count":1,"after":[5]}]}          | steps.1.after |
      | {"spec":7,"steps":[{"count":1}]}                                    | spec          |
      | not json                                                            | JSON          |

    Examples: numbers beyond their bounds
      | body                                                                | place         |
      | {"spec":"x","steps":[{"count":-1}]}                                 | count         |
      | {"spec":"x","steps":[{"count":1,"cpu":-1000}]}                      | cpu           |
      | {"spec":"x","steps":[{"count":1,"cpu":18446744073709551616}]}       | cpu           |
      | {"spec":"x","steps":[{"count":1,"mem-mb":-1}]}                      | mem-mb        |
      | {"spec":"x","steps":[{"count":1,"gpus":9223372036854775808}]}       | gpus          |
      | {"spec":"x","steps":[{"count":1,"estimate-ms":-1}]}                 | estimate-ms   |
      | {"spec":"x","steps":[{"count":1,"target-ms":1e300}]}                | target-ms     |
      | {"spec":"x","steps":[{"count":1,"anti-affinity":-1}]}               | anti-affinity |
      | {"spec":"x","steps":[{"count":1,"miss-budget":-2}]}                 | miss-budget   |
      | {"spec":"x","steps":[{"count":1}],"repeat-count":-1}                | repeat-count  |
      | {"spec":"x","steps":[{"count":1}],"repeat-count":18446744073709551616}  | repeat-count  |
      | {"spec":"x","steps":[{"count":1}],"repeat-count":2,"interval-ms":-1}    | interval-ms   |
      | {"spec":"x","steps":[{"count":1}],"repeat-count":2,"start-time-ms":1e18} | start-time-ms |

  Scenario Outline: A job with more tasks than an entry can hold is refused
    # Guards against a job that stops each entry that leads: its tasks are held in memory
    # as soon as its record is durable, and again by each next leader.
    When steps of <first> and then <second> tasks are submitted
    Then it is <outcome>

    Examples:
      | first  | second                | outcome                            |
      | 1      | 99999                 | accepted                           |
      | 100001 | 1                     | refused for "steps.0.count"        |
      | 1      | 100000                | refused for "steps.1.count"        |
      | 1      | 9223372036854775807   | refused for "steps.1.count"        |

  Scenario: A job that is nested too deeply is invalid
    # Guards against an unexpected error in place of a clear answer: the caller got 504.
    Given an entry with queues "/a/" and "/a/b/" on "h.example"
    When a caller posts a job that is nested 5,000 deep to "/a/"
    Then the answer is 400 and names the depth

  Scenario: An invalid job id
    When a caller submits a job with the id "../etc"
    Then the finding names the id

  Scenario: Every field of a step is decoded
    When a caller submits a job with every field
    Then each field of the step holds its value

  Scenario Outline: Invalid registrations of endpoints
    Given two registered endpoints and the registration <value>
    When the endpoints are read
    Then the two are returned, and the invalid registration is logged once

    Examples:
      | value                                                                     |
      | not json                                                                  |
      | {}                                                                        |
      | {"backend":"p","address":"a","zone":"z","state":"asleep","capacity":{}}   |
      | {"backend":"p","address":7,"zone":"z","state":"ready","capacity":{}}      |
      | [1,2]                                                                     |

  Scenario Outline: A registration with one invalid field names no endpoint
    # Guards against a registration of another writer that stops all writes: one whose
    # start time exceeds 64 bits was taken for an endpoint, and the record of all
    # endpoints could not be encoded.
    Given two registered endpoints, and one whose "<field>" is <value>
    When the endpoints are read
    Then the two are returned, and the invalid registration is logged once

    Examples: numbers beyond their bounds
      | field              | value                                                                 |
      | born               | 256540638103116199981045407277731807233                               |
      | born               | 9223372036854775808                                                   |
      | born               | -1                                                                    |
      | slots              | 18446744073709551616                                                  |
      | sequence           | -9223372036854775809                                                  |
      | capacity           | {"cpu": 18446744073709551616}                                         |
      | capacity           | {"cpu": 1000, "mem-mb": -1}                                           |
      | capacity           | {"gpus": -1}                                                          |
      | drain-remaining-ms | 1e300                                                                 |
      | drain-remaining-ms | -1                                                                    |
      | drain-remaining-ms | 1e400                                                                 |
      | cold-remaining-ms  | -1                                                                    |

    Examples: other types
      | field              | value                                                                 |
      | slots              | "eight"                                                               |
      | sequence           | 1.5                                                                   |
      | version            | 7                                                                     |
      | born               | "5"                                                                   |
      | born               | 1e3                                                                   |
      | labels             | "a"                                                                   |
      | machine            | null                                                                  |
      | state              | "asleep"                                                              |

    Examples: missing fields
      | field              | value                                                                 |
      | backend            | missing                                                               |
      | address            | missing                                                               |
      | zone               | missing                                                               |
      | version            | missing                                                               |
      | slots              | missing                                                               |
      | state              | missing                                                               |
      | sequence           | missing                                                               |
      | capacity           | missing                                                               |

    Examples: addresses that cannot be called
      | field              | value                                                                 |
      | address            | "10.0.0.1:65536"                                                      |
      | address            | "10.0.0.1:0"                                                          |
      | address            | "10.0.0.1:-1"                                                         |
      | address            | "10.0.0.1:\u0661"                                                     |
      | address            | "10.0.0.1"                                                            |
      | address            | "10.0.0.1:80/x"                                                       |
      | address            | "10.0.0.1:80:80"                                                      |
      | address            | "10.0.0.256:80"                                                       |
      | address            | "x@10.0.0.1:80"                                                       |
      | address            | "host:80"                                                             |
      | address            | ""                                                                    |

    Examples: values nested too deeply
      | field              | value                                                                 |
      | slots              | nested 5,000 deep                                                     |
      | labels             | nested 5,000 deep                                                     |
      | unknown            | nested 5,000 deep                                                     |

    Examples: texts beyond the length of a key
      | field              | value                                                                 |
      | zone               | a long text                                                           |
      | machine            | a long text                                                           |

  Scenario: A registration under a name that no header can hold names no endpoint
    # Guards against calls that fail with an unexpected error before they are sent.
    Given two registered endpoints, and one with a line break in its name
    When the endpoints are read
    Then the two are returned, and the invalid registration is logged once

  Scenario: An endpoint with an IPv6 address is registered
    Given a registered endpoint at "[::1]:80"
    When the endpoints are read
    Then it is returned

  Scenario: An invalid or older configuration does not replace the current one
    Given an entry with configuration 3
    When "{"version":"four"}" is written
    Then configuration 3 is in force
    When configuration 2 is written
    Then configuration 3 is in force
    When configuration 5 is written
    Then configuration 5 is in force

  Scenario: A configuration that is nested too deeply does not replace the current one
    # Guards against a watch of the operator's items that ends at each read.
    Given an entry with configuration 3
    When a configuration that is nested 5,000 deep is written
    Then configuration 3 is in force

  Scenario Outline: An invalid wave does not hide the others
    # Guards against a watch of the operator's items that ends at each read, and against
    # an order that cannot be encoded and ends each step of the maintenance.
    Given the waves 1 and 2, of which "<field>" of 1 is <value>
    When the operator's orders are read
    Then the order of wave 2 is returned, and wave 1 is logged

    Examples:
      | field      | value                |
      | other      | nested 5,000 deep    |
      | wave       | 18446744073709551616 |
      | wave       | -1                   |
      | maximum    | 18446744073709551616 |
      | duration-s | -1                   |
      | duration-s | 1e300                |
      | machines   | ["m", 7]             |

  Scenario: Queues are found by host and longest prefix
    Given an entry with queues "/a/" and "/a/b/" on "h.example"
    Then "/a/b/0123" addresses "/a/b/" and "/a/0123" addresses "/a/"
    And "/c/0123" and another host address no queue

  Scenario: All findings of a settings file are reported together
    When a settings file lacks "node-name" and has a string for "limits.cores"
    Then the findings name both

  Scenario Outline: Whether the platform refuses old orders is a truth value
    # Guards against a number or text that is taken for "it refuses them".
    When a settings file has <value> for "bounds.enforce-fencing"
    Then <result>

    Examples:
      | value | result                                       |
      | false | old orders count as carried out              |
      | true  | old orders count as refused                  |
      | 0     | an error names "bounds.enforce-fencing"      |
      | "no"  | an error names "bounds.enforce-fencing"      |

  Scenario Outline: Within which time an evacuation must be in force is read
    # Guards against a deployment whose limit is ignored, and against a limit where none
    # is set: starts would be withheld there; and against one that is shorter than a list
    # of evacuations takes to be replaced in calm, which withholds starts without a fault,
    # or against a deployment with such a limit that does not start at all.
    When a settings file has <value> for "bounds.evacuate-ms"
    Then <result>

    Examples:
      | value  | result                                    |
      | 5000   | evacuations are in force within 5 s       |
      | null   | evacuations are in force within 0 s       |
      | "soon" | an error names "bounds.evacuate-ms"       |
      | 4000   | evacuations are in force within 4 s       |
      | 0      | evacuations are in force within 0 s       |
      | 3999   | evacuations are in force within 4 s       |
      | 2000   | evacuations are in force within 4 s       |
      | -1     | an error names "bounds.evacuate-ms"       |

  Scenario: Unknown settings are ignored
    When a settings file has a field "colour"
    Then it has no findings

  Scenario Outline: A cancel of an id that no job can have leaves no record
    # Guards against keys that the store refuses, and against records that callers can fill
    # with any text: a cancel of an unknown id is recorded.
    When a caller cancels the job <id>
    Then the answer is 410, and the leader is not asked

    Examples:
      | id                 |
      | 00000000000000AA   |
      | 00000000000000aa/x |
      | aa                 |

  Scenario Outline: A retry delay in whole seconds
    # Guards against a caller who is told to return before there is room, and is refused
    # again.
    Given a job that is refused with a delay of <delay> s
    When the delay is written for its caller
    Then its header is "<text>"

    Examples:
      | delay | text |
      | 0.2   | 1    |
      | 1     | 1    |
      | 1.3   | 2    |
      | 10    | 10   |
