Feature: Two failures together

  Scenario Outline: Two failures drawn with seed <seed>
    Given a system with 3 entries and three stages of engines
    And each engine takes 5 ms for a step
    And the customer limited may run 6 requests at a time
    And two failures drawn with seed <seed>
    When 30 requests of limited for 16 tokens come in while both failures happen
    Then nobody received a token of another answer
    And the journals have no run of a request that was refused as not run
    And never more than 6 requests of limited ran at once
    And the journals pass
    When everything is repaired
    Then within 5 seconds a new request is answered whole at every entry

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
