Feature: Waves of maintenance over a change of the leader

  Scenario Outline: A new leader goes on where the last one was
    # Trial on trouble-1 (Msasani, grown): 53 instances were ordered again, since the
    # operator's orders were taken over before the records were read.
    Given a wave over "m1", "m2" and "m3", of which "m1" has begun under the last leader
    When the new leader takes over <order>
    Then it orders "m2" and "m3" and not "m1"
    And the wave is recorded as completed once both have begun

    Examples:
      | order                       |
      | the records and the orders  |
      | the orders and the records  |

  Scenario: A wave that is completed stays so
    Given a wave over "m1", "m2" and "m3" that is completed
    When the new leader takes over the orders and the records
    Then it orders nothing

  Scenario: A new leader leaves the last one's orders their time
    # Trial on trouble-1 (Msasani, grown): two changes of the leader made a wave late.
    Given a wave over "m1", "m2" and "m3", of which "m1" has begun under the last leader
    And "m2" was about to be ordered by the last leader
    When the new leader has led for less than the lease time
    Then it has ordered "m3" and not "m2"
    When the lease time has passed
    Then it has ordered "m2" as well

  Scenario: No more instances are down than the wave allows
    Given a wave over "m1", "m2" and "m3" with a maximum of 2, of which "m1" is down
    When the new leader takes over the records and the orders
    Then it orders one of "m2" and "m3"

  Scenario: A new leader empties no instance that it has not looked at
    # Trial on trouble-1 (Msasani, grown): AVAIL. The endpoint's runs were not known yet,
    # and its instance counted as empty.
    Given a wave over "m1", "m2" and "m3", of which "m1" has begun under the last leader
    And an endpoint lives on "m2" that the new leader has not looked at
    When the new leader takes over the records and the orders
    Then it has ordered "m3" and not "m2"
    When the endpoint on "m2" has listed no runs
    Then it has ordered "m2" as well

  Scenario: An instance that is down for another wave has not begun this one
    # Hunt mix --seed 27095424936 (Msasani): MIXED. Two waves named the same instances.
    Given a wave over "m1", "m2" and "m3" with a maximum of 3, of which "m1" is down
    When the new leader takes over the records and the orders
    Then the wave is not recorded as completed
