Feature: Each customer has one limit over all entries, and its share

  Scenario: The limit holds while one entry is cut off
    Given a system with 3 entries and three stages of engines
    And the customer limited may run 4 requests at a time
    And each engine takes 5 ms for a step
    When entry2 is cut off from everything but its upstreams
    And 36 requests of limited for 12 tokens arrive at all entries within a second
    Then never more than 4 requests of limited ran at once
    And at least 2 requests of limited ran at once
    And each of them was answered whole or refused as not run
    And at least 10 of them were answered
    And the journals pass

  Scenario: The limit holds while entries are paused and wake
    Given a system with 3 entries and three stages of engines
    And the customer limited may run 4 requests at a time
    And each engine takes 5 ms for a step
    When entry1 is paused for 4 seconds
    And 36 requests of limited for 12 tokens arrive at all entries within a second
    Then never more than 4 requests of limited ran at once
    And at least 2 requests of limited ran at once
    And the journals pass

  Scenario: A customer that floods slows nobody else
    Given a system with 3 entries and three stages of engines
    And the customer calm waits for its answers alone
    When the customer flood sends 150 requests at once through all entries
    And the customer calm asks again meanwhile
    Then the answers of calm took at most 3 times as long
    And every answer of calm is whole
    And the journals pass
