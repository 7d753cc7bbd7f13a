Feature: Each customer has one concurrency limit across all entries and a fair share

  Scenario: The limit holds while one entry is partitioned
    Given a system with 3 entries and three stages of engines
    And the customer limited has a concurrency limit of 8
    And the customer limited has been served at every entry
    And each engine step takes 5 ms
    When entry2 is partitioned from everything but its upstreams
    And 60 requests of limited for 12 tokens arrive at all entries within a second
    Then at most 8 requests of limited ran concurrently
    And at least 2 requests of limited ran concurrently
    And each request was answered completely or refused as not run
    And at least 10 requests were answered
    And the run journals are consistent

  Scenario: The limit holds while an entry is paused and resumes
    Given a system with 3 entries and three stages of engines
    And the customer limited has a concurrency limit of 8
    And the customer limited has been served at every entry
    And each engine step takes 5 ms
    When an entry that owns at most half of the permits of limited is paused for 4 s
    And 60 requests of limited for 12 tokens arrive at all entries within a second
    Then at most 8 requests of limited ran concurrently
    And at least 2 requests of limited ran concurrently
    And the run journals are consistent

  Scenario: A new customer is served while one entry is partitioned
    Given a system with 3 entries and three stages of engines
    When entry2 is partitioned from everything but its upstreams
    And a new customer sends requests to entry0 and entry1
    Then every answer is complete and equals the fault-free answer

  Scenario: A flood of requests from one customer does not slow another
    Given a system with 3 entries and engines with 4 slots
    And the baseline latency of the customer calm is measured
    When the customer flood keeps 60 requests in progress through all entries
    And the latency of the customer calm is measured during the flood
    Then the latency of calm during the flood is at most 3 times its baseline
    And every answer of calm is complete
    And the run journals are consistent
