Feature: Settings are validated completely before an entry starts
  Guards against an entry that starts with a misspelt or missing setting.

  Scenario: The sample file with comments is valid
    Given the sample settings
    When the settings are checked
    Then there are no findings

  Scenario Outline: A problem is reported with its position
    Given the sample settings with "<before>" replaced by "<after>"
    When the settings are checked
    Then there is a finding on the line of "<mark>" that says "<message>"

    Examples:
      | before                    | after                      | mark        | message                              |
      | "poll_ms": 1000,          | "pol_ms": 1000,            | pol_ms      | unknown setting 'store.pol_ms'       |
      | "poll_ms": 1000,          | "pol_ms": 1000,            | pol_ms      | did you mean 'poll_ms'?              |
      | "data_centre": "dc1",     |                            | {           | setting 'data_centre' is missing     |
      | "connections": 7,         | "connections": 0,          | connections | greater than 0                       |
      | "name": "entry-1",        | "name": "Entry 1",         | Entry 1     | setting 'name'                       |
      | "margin_ms": 500,         | "margin_ms": "soon",       | soon        | valid integer                        |
      | "freshness_ms": 4000,     | "freshness_ms": 1500,      | 1500        | must exceed 'store.poll_ms'          |
      | "max_deadline_ms": 60000, | "max_deadline_ms": 90000,  | 90000       | must not exceed 'timing.task_lease   |
      | "margin_ms": 500,         | "margin_ms": 5, "margin_ms": 6, | margin_ms | given more than once             |
      | "weights": {              | "weights": <               | weights     | not JSON with comments               |

  Scenario: All findings are reported together
    Given the sample settings with two unknown names
    When the settings are checked
    Then there are 2 findings
