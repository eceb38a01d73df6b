Feature: A short fault soak of the real program

  Scenario Outline: External faults violate no guarantee
    When the soak runs with seed <seed> for <seconds> s
    Then it injected faults, accepted jobs and found no violation

    Examples: seeds that failed once
      # 4: ends of a restarted endpoint were acknowledged before they had been listed
      | seed | seconds |
      | 4    | 8       |
