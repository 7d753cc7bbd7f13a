Feature: Two failures together

  Scenario Outline: Two failures drawn with seed <seed>
    Given a system with 3 entries and three stages of engines
    And each engine step takes 5 ms
    And the customer limited has a concurrency limit of 6
    And two failures drawn with seed <seed>
    When 30 requests of limited for 16 tokens arrive while both failures occur
    Then no caller received a token of another answer
    And no request refused as not run appears in the run journals
    And at most 6 requests of limited ran concurrently
    And the run journals are consistent
    When all faults are repaired
    Then within 5 seconds a new request is answered completely at every entry

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
