Feature: Malformed responses and messages

  Scenario Outline: A malformed response counts as no response
    # Guards against a body that cannot be decoded and passes for an empty one: without
    # runs, every run at the endpoint seemed to have ended, and its task started
    # elsewhere; without instances, every wave seemed complete.
    Given a server that responds with status 200 and <body>
    When <call> is called there
    Then the outcome is unknown, and the reason names the body's fault

    Examples: bodies that no call accepts
      | call           | body       |
      | poll           | not JSON   |
      | poll           | a list     |
      | poll           | no body    |
      | poll           | 9 MB       |
      | poll           | nested     |
      | read_all       | nested     |
      | start          | not JSON   |
      | start          | no body    |
      | stop           | a list     |
      | read_all       | not JSON   |
      | read_all       | no body    |
      | read           | a list     |
      | commit         | no body    |
      | grant_lease    | no body    |
      | watch          | not JSON   |
      | read_instances | not JSON   |
      | read_instances | no body    |

    Examples: fields of a wrong type or without a meaning
      | call           | body                                                                                |
      | poll           | {"clock-ms": "1", "born": 1}                                                        |
      | poll           | {"clock-ms": 1, "running": []}                                                      |
      | poll           | {"clock-ms": 1, "born": 1, "running": [["00000000000000aa.0.0.0"]]}                 |
      | poll           | {"clock-ms": 1, "born": 1, "running": {"a": 1}}                                     |
      | poll           | {"clock-ms": 1, "born": 1, "ended": [[1, "00000000000000aa.0.0.0", 1, "odd", ""]]}  |
      | poll           | {"clock-ms": 18446744073709551616, "born": 1}                                       |
      | poll           | {"clock-ms": 1, "born": -1}                                                         |
      | poll           | {"clock-ms": 1, "born": 1, "running": [["a.0.0.0", 18446744073709551616, "", 1]]}   |
      | poll           | {"clock-ms": 1, "born": 1, "running": [["a.0.0.0", -1, "", 1]]}                     |
      | poll           | {"clock-ms": 1, "born": 1, "running": [["a.0.0.18446744073709551616", 1, "", 1]]}   |
      | poll           | {"clock-ms": 1, "born": 1, "ended": [[18446744073709551616, "a.0.0.0", 1, "done"]]} |
      | poll           | {"clock-ms": 1, "born": 1, "ended": [[1, "a.0.0.0", 18446744073709551616, "done"]]} |
      | start          | {"clock-ms": 18446744073709551616}                                                  |
      | read_all       | {"at": 1, "items": [{"value": "YQ=="}]}                                             |
      | read_all       | {"items": []}                                                                       |
      | read_all       | {"at": 1, "items": [], "has-more": true}                                            |
      | read_instances | {"machines": [{"pool": "p"}]}                                                       |
      | read_instances | {"machines": []}                                                                    |

  Scenario Outline: A page that was not read does not end the instance list
    # Guards against a wave that is reported as completed (MIXED, read from the code): an
    # error in place of a later page passed for an empty last page, and the instances on
    # it for ones that have left.
    Given a server with two pages of instances that responds to the second with status <status>
    When the instances are read there
    Then the list is not taken for complete

    Examples:
      | status |
      | 400    |
      | 404    |
      | 409    |
      | 429    |
      | 503    |

  Scenario Outline: Malformed messages of peers
    # Guards against one message that ends the handling of all others.
    Given two entries' transports, where the handler fails for one message
    When one sends <message>, and then a heartbeat
    Then the heartbeat arrives at the other, which logs <event>

    Examples:
      | message                        | event            |
      | bytes that are no message      | PEER_REJECTED    |
      | a message of an unknown type   | PEER_REJECTED    |
      | a message nested 5,000 deep    | PEER_REJECTED    |
      | the message that fails         | UNEXPECTED_ERROR |
      | 5 MB                           | nothing          |

  Scenario Outline: Peers whose address cannot be used
    # Guards against one invalid record of an entry, or message of one, that ends the
    # heartbeats to all entries after it.
    Given two entries' transports, where the handler fails for one message
    When one sends a heartbeat to <address>, and then to the other
    Then the heartbeat arrives at the other, which logs PEER_REJECTED

    Examples:
      | address               |
      | an empty address      |
      | 127.0.0.1             |
      | a line break          |
      | a long address        |

  Scenario Outline: Damaged configurations of peers
    Given an entry without a configuration
    When a peer sends a configuration that is <damage>
    Then it is rejected, and the entry has no configuration

    Examples:
      | damage         |
      | not compressed |
      | cut off        |
      | 17 MB          |
