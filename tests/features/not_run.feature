Feature: What is refused as not run did not run

  Scenario: Refusals of every kind
    Given a system with 2 entries and three stages of engines
    And each engine takes 20 ms for a step
    And the customer narrow may run 1 request at a time
    When 6 requests of narrow for 40 tokens arrive at both entries at once
    And a caller asks for a model that nobody has
    And a caller with a wrong key asks
    And a caller asks while every engine of stage 1 is dead
    And a caller asks an entry that is stopping
    Then there are refusals with the codes concurrency_exceeded, no_chain and draining
    And the journals have no run of a request that was refused as not run
    And the journals pass

  Scenario Outline: Requests during a storm of failures, seed <seed>
    Given a system with 3 entries and three stages of engines
    When 40 callers ask while engines die and links break, seed <seed>
    Then the journals have no run of a request that was refused as not run
    And nobody received a token of another answer
    And the journals pass

    Examples:
      | seed |
      | 1    |
      | 2    |
