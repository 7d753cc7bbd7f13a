Feature: The platform's store has a long outage

  Scenario: Entries and upstreams restart while the store is down
    Given a system with 3 entries and three stages of engines
    And the customer limited has a concurrency limit of 4
    And callers continuously send requests through entry0 and entry1 for 25 seconds
    When the store goes down
    And 24 requests of limited for 12 tokens arrive at all entries within a second
    And entry2 dies and restarts
    And the VM of s1-0 dies and restarts
    And the VM of s2-0 dies and restarts
    And 24 requests of limited for 12 tokens arrive at all entries within a second
    Then entry2 and all upstreams are in service again
    And the store has been down throughout
    When the store is restored
    Then every request at entry0 and entry1 was answered completely
    And at most 4 requests of limited ran concurrently
    And the run journals are consistent
    And within 30 seconds the store has a record of each request with its outcome
