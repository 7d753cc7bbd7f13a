Feature: A payment runs at most once and its reported outcome is correct

  Scenario Outline: A payment while the service <service> and the table <table>
    Given a system with 3 entries, three stages of engines and a plain service
    And a customer with non-idempotent payments
    And the service <service>
    And the table <table>
    When the payment is sent through entry0
    And it is resent through entry1 and entry2 concurrently
    And the table is healthy again and the payment is resent through entry1
    Then the payment ran at most once
    And the reported outcomes are correct
    And it ran exactly once, if required: <must_run>

    Examples:
      | service                  | table                      | must_run |
      | is healthy               | is healthy                 | yes      |
      | loses its response       | is healthy                 | yes      |
      | dies after the run       | is healthy                 | yes      |
      | drops the call unread    | is healthy                 | no       |
      | responds after 2 seconds | is healthy                 | yes      |
      | is healthy               | is slow                    | yes      |
      | loses its response       | is slow                    | yes      |
      | is healthy               | is down                    | yes      |
      | loses its response       | is down                    | yes      |
      | is healthy               | loses its responses        | yes      |
      | loses its response       | loses its responses        | yes      |
      | dies after the run       | loses its responses        | yes      |
      | is healthy               | responds after its timeout | yes      |

  Scenario: The same payment arrives at all entries concurrently
    Given a system with 3 entries, three stages of engines and a plain service
    And a customer with non-idempotent payments
    When 20 payments are each sent through all entries concurrently
    Then each payment ran exactly once and all its answers are equal

  Scenario: The VM of the service dies while the payment runs
    Given a system with 3 entries, three stages of engines and a plain service
    And a customer with non-idempotent payments
    And the service responds after 2 seconds
    When the payment is sent and the VM that runs it dies
    And it is resent through entry1 and entry2 concurrently
    Then the payment ran at most once
    And every outcome is unknown

  Scenario: The entry dies while the payment runs
    Given a system with 3 entries, three stages of engines and a plain service
    And a customer with non-idempotent payments
    And the service responds after 2 seconds
    When the payment is sent through entry0, which dies
    And it is resent through entry1 and entry2 concurrently
    Then the payment ran at most once
    And the reported outcomes are correct
    And it ran exactly once, if required: yes

  Scenario: A payment with an issued key while the store is down
    Given a system with 3 entries, three stages of engines and a plain service
    And a customer with non-idempotent payments
    And an idempotency key issued by entry0
    And the table is down
    When the payment is sent through entry0
    And it is resent through entry1 and entry2 concurrently
    Then the payment ran at most once
    And every outcome is answered
    And the reported outcomes are correct

  Scenario: A registration is not retried after its stage dies
    Given a system with 3 entries, three stages of engines and a plain service
    And a customer with non-idempotent payments
    When an engine dies during a registration
    And the registration is resent through entry1 and entry2 concurrently
    Then no registration ran in a second attempt
    And the run journals are consistent
