Feature: A short fault soak of the real program

  Scenario Outline: Faults from outside break no promise
    When the soak runs with seed <seed> for <seconds> s
    Then it has seen faults and jobs, and no violation

    Examples: seeds that failed once
      # 4: ends of a restarted endpoint were acknowledged before anybody had seen them
      | seed | seconds |
      | 4    | 8       |
