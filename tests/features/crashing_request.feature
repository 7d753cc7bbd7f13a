Feature: One request crashes every engine that runs it

  Scenario: The request is sent through every entry in turn
    Given a system with 3 entries and 6 engines in the first stage
    And a request that crashes every engine of the first stage
    And 12 other requests are running
    When the request is sent through every entry in turn
    Then at most 3 engines have died
    And at least 1 engine has died
    And the request was never answered and was finally refused
    And every other answer is complete and equals the fault-free answer
    And the run journals are consistent

  Scenario: The request is sent through every entry concurrently
    Given a system with 3 entries and 6 engines in the first stage
    And a request that crashes every engine of the first stage
    And 12 other requests are running
    When the request is sent twice through every entry concurrently
    Then at most 3 engines have died
    And at least 1 engine has died
    And the request was never answered and was finally refused
    And every other answer is complete and equals the fault-free answer
    And the run journals are consistent
