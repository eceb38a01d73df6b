Feature: A short fault soak of the real program

  Scenario Outline: External faults violate no guarantee
    When the soak runs with seed <seed> for <seconds> s
    Then it injected faults, accepted jobs and found no violation

    Examples: seeds that failed once
      # 4: ends of a restarted endpoint were acknowledged before they had been listed
      | seed | seconds |
      | 4    | 8       |

  Scenario Outline: Links that hold, lose and delay bytes violate no guarantee
    # Guards against tasks that run twice because calls and messages arrive after a
    # partition has ended, which the faults inside the program cannot show.
    When the soak with two data centres runs with seed <seed> for <seconds> s
    Then it injected faults, accepted jobs and found no violation

    Examples:
      | seed | seconds |
      | 2    | 7       |

  Scenario Outline: When a soak expects an evacuation to be known
    # Guards against starts that a soak excuses by an outage of the store that began long
    # after the evacuation was known, and against a bound that ends in an outage.
    Given outages of the store from <outages> s
    Then an evacuation that is requested at 0 s is known by <seconds> s

    Examples:
      | outages             | seconds |
      | 30 to 31            | 10      |
      | 10.1 to 12          | 10      |
      | 9.9 to 12           | 22      |
      | 9.9 to 12, 20 to 25 | 35      |
      | 20 to 25, 9.9 to 12 | 35      |
      | 9.9 to 12, 23 to 25 | 22      |
