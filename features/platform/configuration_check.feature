Feature: A configuration is checked before it is sent

  Scenario Outline: Findings with their places
    # Guards against a configuration that the store takes and that does not do what its
    # writer meant: entries that are never used, and limits that exclude each other.
    Given the configuration "<change>"
    When it is checked
    Then the exit code is 2, and a line holds "<place>" and "<message>"

    Examples:
      | change                              | place                 | message                       |
      | routes.1.name = "fast"              | 4:5: routes.1.name    | error                         |
      | routes.1.backend = "desks"          | 4:5: routes.1.backend | did you mean 'desk'           |
      | routes.1.backend = "spare"          | 4:5: routes.1.backend | standby                       |
      | routes.1.path-prefix = "/fast/"     | routes.1.path-prefix  | never matches: queue 'fast'   |
      | routes.1.path-prefix = "slow/"      | routes.1.path-prefix  | no path begins                |
      | routes.1.hostname = "h:80"          | routes.1.hostname     | no request has the host       |
      | routes.1.max-attempts = 0           | routes.1.max-attempts | too small                     |
      | routes.1.slo-ms = 9000              | routes.1.timeout-ms   | contradiction                 |
      | routes.1.slo-ms = "x"               | :1:1:                 | slo-ms                        |
      | backends.1.standby = false          | backends.1.name       | no queue uses pool 'spare'    |
      | tenants.1.api-keys = []             | tenants.1.api-keys    | can submit nothing            |
      | tenants.1.api-keys = ["k1"]         | tenants.1.api-keys    | belongs to 'one' too          |
      | tenants.1.weight = 0                | tenants.1.weight      | not above 0                   |
      | tenants.1.maximum = {"cpu": 1000}   | tenants.1.maximum     | below one task of queue 'fast' |
      | limits.idle-timeout-ms = 1000       | limits.idle-timeout-ms | before the 3 s               |
      | version = 7                         | version               | not above 7                   |

  Scenario: A configuration without findings, and what differs from the one in force
    # Guards against a change that does more than its writer meant.
    Given the configuration "routes.1.priority = 3"
    When it is checked
    Then the exit code is 0, and a line holds "changed route slow" and "priority 0 to 3"

  Scenario: A key that is withdrawn
    # Guards against keys in the output of a check.
    Given the configuration "tenants.1.api-keys = ["secret"]"
    When it is checked
    Then the exit code is 0, and a line holds "removed key" and "of team two"
    And no line holds "secret"

  Scenario: Names and units of what differs
    # Guards against output in words that its reader did not write.
    Given the configuration "routes.1.timeout-ms = 2500"
    When it is checked
    Then the exit code is 0, and a line holds "changed route slow" and "timeout-ms 3000 to 2500"

  Scenario: A name that is also that of a list
    # Guards against places that are found by their text.
    Given the configuration "tenants.1.name = "routes""
    When it is checked
    Then the exit code is 0, and a line holds "added tenant" and "routes"
