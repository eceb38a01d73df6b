Feature: Endpoints whose capacity changes while they run

  Scenario Outline: No start brings an endpoint over a capacity that has shrunk
    # Guards against overbooked endpoints (LIMIT): a capacity may shrink below what is
    # running, and grow again.
    Given 240 jobs for 8 endpoints of 4 cores, more than these can run at a time
    When three endpoints shrink to <cores> cores after 3 s, and grow again after 12 s
    Then nothing starts beyond their capacity from 4.5 s after they have shrunk
    And they are filled again within 4.5 s after they have grown

    Examples:
      | cores |
      | 0     |
      | 1     |
      | 3     |
