Feature: A request refused as not run did not run

  Scenario: Refusals of every kind
    Given a system with 2 entries and three stages of engines
    And each engine step takes 20 ms
    And the customer narrow has a concurrency limit of 1
    When 6 requests of narrow for 40 tokens arrive at both entries concurrently
    And a caller requests a model that no engine serves
    And a caller sends a request with an invalid key
    And a caller sends a request while every engine of stage 1 is dead
    And a caller sends a request to a draining entry
    Then there are refusals with the codes concurrency_exceeded, no_chain and draining
    And no request refused as not run appears in the run journals
    And the run journals are consistent

  Scenario Outline: Requests during random failures, seed <seed>
    Given a system with 3 entries and three stages of engines
    When 40 callers send requests while engines die and links fail, seed <seed>
    Then no request refused as not run appears in the run journals
    And no caller received a token of another answer
    And the run journals are consistent

    Examples:
      | seed |
      | 1    |
      | 2    |
