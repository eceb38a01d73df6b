Feature: The log shows what gives a leader its authority

  Scenario Outline: A change of what gives the leader its authority is logged
    # Guards against a leader that acts by the consent of other entries, or without a right,
    # and whose log does not tell it from one with a lease (TWICE, issue 43).
    Given 3 entries and a job each 0.3 s
    When <entries> cannot reach the store for <seconds> s
    Then the log of the leader shows authority by <bases>
    And each order names the epoch of its leader and the data centre of the endpoint

    Examples:
      | entries     | seconds | bases                                         |
      | no entry    | 5       | lease                                         |
      | all entries | 5       | lease, nothing, consent of all members, lease |
      | the leader  | 5       | lease, nothing                                |
