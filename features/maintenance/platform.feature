Feature: The platform client follows the platform's protocol
  Guards against a change of the protocol, and against calls that hang or take effect
  twice.

  Scenario: An instance is drained once and rebooted once
    Given a platform stand-in with instance "i-1"
    When the client drains it twice as "c-1.drain" and reboots it twice as "c-1.reboot"
    Then the stand-in recorded "draining, drained, rebooting, live"

  Scenario: A call whose response was lost is repeated without a second effect
    Given a platform stand-in with instance "i-1"
    And the platform stand-in has the faults {"lost_answers": 1}
    When the client drains it twice as "c-1.drain" and reboots it twice as "c-1.reboot"
    Then the stand-in recorded "draining, drained, rebooting, live"

  Scenario Outline: A fault is reported as an error within the timeout
    Given a platform stand-in with instance "i-1"
    And the platform stand-in has the faults <faults>
    When the client makes the call "<call>"
    Then the platform is unavailable because of "<reason>" within 1 s

    Examples:
      | faults            | call           | reason     |
      | {"down": true}    | list           | GET        |
      | {"down": true}    | state          | GET        |
      | {"slow_ms": 3000} | list           | Timeout    |
      | {"slow_ms": 3000} | drain          | Timeout    |
      | {"fail": true}    | drain          | status 500 |
      | {}                | early reboot   | status 409 |
      | {}                | wrong protocol | understood |

  Scenario Outline: The list of instances and the state of one instance are read
    Given a platform stand-in with instance "i-1"
    And the platform stand-in has the faults <faults>
    Then the list names "<names>" and the state of "<instance>" is "<state>"

    Examples:
      | faults            | names | instance | state   |
      | {}                | i-1   | i-1      | live    |
      | {}                | i-1   | a/../b   | missing |
      | {"omit": ["i-1"]} | none  | i-1      | live    |
