Feature: A planned stop cuts off nothing

  Scenario: An upstream leaves although the VM list shows it as live
    Given a system with 2 entries and three stages of engines
    And callers keep asking at all entries
    When the sidecar of s0-0 is told to stop
    Then the sidecar of s0-0 ends with exit code 0
    And no request began on s0-0 later than 2 seconds after that
    And every answer is whole and identical to the undisturbed one
    And no request needed a second attempt
    And the journals pass

  Scenario: An entry is stopped while it streams an answer
    Given a system with 2 entries and three stages of engines
    And each engine takes 20 ms for a step
    When entry0 is told to stop after 4 of 30 tokens
    Then entry0 is not ready and refuses new requests as not run
    And entry0 ends with exit code 0
    And the answer is whole and identical to the undisturbed one
    And no request needed a second attempt
    And the journals pass

  Scenario: An entry and an upstream in use are stopped together
    Given a system with 2 entries and three stages of engines
    And each engine takes 20 ms for a step
    When entry0 and the sidecar of s1-0 are told to stop after 4 of 30 tokens
    Then the sidecar of s1-0 ends with exit code 0
    And entry0 ends with exit code 0
    And the answer is whole and identical to the undisturbed one
    And no request needed a second attempt
    And the journals pass
