Feature: Decisions about what clients may keep
  Guards against limits that are met by ordinary clients, and against a budget that loses
  bytes or shuts out a single legal request.

  Scenario Outline: Clients' share of a process
    When a process has <memory> MB and <descriptors> descriptors
    Then clients may hold <bytes> bytes on <connections> connections

    Examples:
      | memory | descriptors | bytes     | connections |
      | 200    | 4100        | 34000000  | 1037        |
      | 552    | 8192        | 122000000 | 3723        |
      | 552    | 1000        | 122000000 | 500         |
      | 64     | 4100        | 2000000   | 16          |

  Scenario Outline: A connection is closed after the time of its phase
    When a connection has been in phase "<phase>" for <elapsed> s and got <bytes> bytes
    Then it is closed as "<reason>"

    Examples:
      | phase      | elapsed | bytes | reason          |
      | handshake  | 3       | 0     |                 |
      | handshake  | 3.1     | 0     | slow handshake  |
      | idle       | 15      | 0     |                 |
      | idle       | 15.1    | 0     | idle            |
      | head       | 3       | 1     |                 |
      | head       | 3.1     | 1     | slow head       |
      | body       | 2       | 0     |                 |
      | body       | 12      | 10240 |                 |
      | body       | 12      | 10239 | slow body       |
      | handling   | 9999    | 0     |                 |
      | writing    | 15.1    | 0     | unread response |
      | closing    | 15.1    | 0     | unread response |
      | discarding | 2.1     | 0     | refused         |

  Scenario: A budget admits a single request of any size, and no second one
    Given a budget of 100 bytes
    Then a request may reserve 80 and then 500 bytes, and another one none
    And after their return another one may reserve 100 bytes

  Scenario Outline: Which uploads are closed for another request
    # Guards against ordinary uploads that are all closed for a request that finds no room
    # all the same, or for which one of them would have been enough.
    Given a budget of <size> bytes, and 5 uploads that hold 150 bytes each
    When a further request asks for <amount> bytes
    Then <closed> uploads are closed, and it is <verdict>

    Examples:
      | size | amount | closed | verdict  |
      | 1000 | 200    | 0      | admitted |
      | 1000 | 400    | 1      | admitted |
      | 1000 | 600    | 3      | admitted |
      | 1000 | 2000   | 0      | refused  |

  Scenario: Callers cannot keep health checks out
    # Guards against an entry that leaves the rotation, or cannot be operated, because
    # its callers have used up the memory for requests.
    Given a budget of 1000 bytes, and 5 uploads that hold 150 bytes each
    When a request at a listen address with a part of the connections asks for 900 bytes
    Then 0 uploads are closed, and it is admitted

  Scenario: A body whose client has left is dropped at once
    # Guards against bodies that stay in memory, and count no longer, until the next
    # collection of reference cycles: a crowd of them took a process beyond its memory.
    When 20 clients send 100000 bytes of a body each and leave
    Then fewer than 1000000 bytes are kept

  Scenario: What clients use is shown
    # Guards against an entry that refuses callers while no metric tells what it holds.
    Given a budget of 1000 bytes, and 5 uploads that hold 150 bytes each
    Then the gauges show 750 of 1000 bytes held, 5 bodies and 0 idle connections
