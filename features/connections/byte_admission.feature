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
