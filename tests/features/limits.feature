Feature: Each customer has one limit over all entries, and its share

  Scenario: The limit holds while one entry is cut off
    Given a system with 3 entries and three stages of engines
    And the customer limited may run 8 requests at a time
    And the customer limited has been served at every entry
    And each engine takes 5 ms for a step
    When entry2 is cut off from everything but its upstreams
    And 60 requests of limited for 12 tokens arrive at all entries within a second
    Then never more than 8 requests of limited ran at once
    And at least 2 requests of limited ran at once
    And each of them was answered whole or refused as not run
    And at least 10 of them were answered
    And the journals pass

  Scenario: The limit holds while entries are paused and wake
    Given a system with 3 entries and three stages of engines
    And the customer limited may run 8 requests at a time
    And the customer limited has been served at every entry
    And each engine takes 5 ms for a step
    When entry1 is paused for 4 seconds
    And 60 requests of limited for 12 tokens arrive at all entries within a second
    Then never more than 8 requests of limited ran at once
    And at least 2 requests of limited ran at once
    And the journals pass

  Scenario: A new customer is served while one entry is cut off
    Given a system with 3 entries and three stages of engines
    When entry2 is cut off from everything but its upstreams
    And a new customer asks entry0 and entry1
    Then every answer is whole and identical to the undisturbed one

  Scenario: A customer that floods slows nobody else
    Given a system with 3 entries and engines with 4 slots
    And the customer calm has its answers with nobody else there
    When the customer flood keeps 60 requests in progress through all entries
    And the customer calm asks again meanwhile
    Then the answers of calm took at most 3 times as long
    And every answer of calm is whole
    And the journals pass
