Feature: A planned stop interrupts no request

  Scenario: An upstream drains while the VM list shows it as live
    Given a system with 2 entries and three stages of engines
    And callers continuously send requests through all entries
    When the sidecar of s0-0 receives SIGTERM
    Then the sidecar of s0-0 exits with status 0
    And no request started on s0-0 later than 2 seconds after the signal
    And every answer is complete and equals the fault-free answer
    And no request needed a second attempt
    And the run journals are consistent

  Scenario: An entry is stopped while it streams an answer
    Given a system with 2 entries and three stages of engines
    And each engine step takes 20 ms
    When entry0 receives SIGTERM after 4 of 30 tokens
    Then entry0 is not ready and refuses new requests as not run
    And entry0 exits with status 0
    And the answer is complete and equals the fault-free answer
    And no request needed a second attempt
    And the run journals are consistent

  Scenario: An entry and an upstream in use are stopped together
    Given a system with 2 entries and three stages of engines
    And each engine step takes 20 ms
    When entry0 and the sidecar of s1-0 receive SIGTERM after 4 of 30 tokens
    Then the sidecar of s1-0 exits with status 0
    And entry0 exits with status 0
    And the answer is complete and equals the fault-free answer
    And no request needed a second attempt
    And the run journals are consistent
