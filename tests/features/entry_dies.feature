Feature: An entry dies while it streams an answer
  The sidecars cancel its requests, and the caller resends the interrupted one.

  Scenario: The caller resends the request through another entry
    Given a system with 3 entries and three stages of engines
    And each engine step takes 20 ms
    When entry0 is killed after 5 of 100 tokens
    Then the caller received a correct but incomplete answer
    And after 5 seconds no engine runs that request
    When the caller resends the request through entry1
    Then the second answer is complete and equals the fault-free answer
    And the run journals are consistent
