Feature: The platform's store is down for long

  Scenario: Entries and upstreams come and go while the store is down
    Given a system with 3 entries and three stages of engines
    And the customer limited may run 4 requests at a time
    And callers keep asking at entry0 and entry1 for 25 seconds
    When the store goes down
    And 24 requests of limited for 12 tokens arrive at all entries within a second
    And entry2 dies and starts again
    And the VM of s1-0 dies and starts again
    And the VM of s2-0 dies and starts again
    And 24 requests of limited for 12 tokens arrive at all entries within a second
    Then entry2 and all upstreams are in use again
    And the store has been down all the time
    When the store comes back
    Then every request at entry0 and entry1 was answered whole
    And never more than 4 requests of limited ran at once
    And the journals pass
    And within 30 seconds the store has one record of each request with its outcome
