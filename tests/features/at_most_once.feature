Feature: A payment runs at most once and its outcome is the truth

  Scenario Outline: A payment while the service <service> and the table <table>
    Given a system with 3 entries, three stages of engines and a plain service
    And a customer whose payments must not be repeated
    And the service <service>
    And the table <table>
    When the payment is sent through entry0
    And it is sent again through entry1 and entry2 at once
    And the table is healthy again and it is sent once more through entry1
    Then the payment ran at most once
    And the outcomes are the truth
    And it ran exactly once, if <must_run>

    Examples:
      | service                       | table                     | must_run |
      | is healthy                    | is healthy                | yes      |
      | loses its reply               | is healthy                | yes      |
      | dies after the run            | is healthy                | yes      |
      | drops the call unread         | is healthy                | no       |
      | replies after 2 seconds       | is healthy                | yes      |
      | is healthy                    | is slow                   | yes      |
      | loses its reply               | is slow                   | yes      |
      | is healthy                    | is down                   | yes      |
      | loses its reply               | is down                   | yes      |
      | is healthy                    | loses its answers         | yes      |
      | loses its reply               | loses its answers         | yes      |
      | dies after the run            | loses its answers         | yes      |
      | is healthy                    | answers after its timeout | yes      |

  Scenario: The same payment comes through two entries at the same instant
    Given a system with 3 entries, three stages of engines and a plain service
    And a customer whose payments must not be repeated
    When 20 payments are each sent through all entries at once
    Then each payment ran exactly once and all its answers are equal

  Scenario: The VM of the service dies while the payment runs
    Given a system with 3 entries, three stages of engines and a plain service
    And a customer whose payments must not be repeated
    And the service replies after 2 seconds
    When the payment is sent and the VM that runs it dies
    And it is sent again through entry1 and entry2 at once
    Then the payment ran at most once
    And every outcome is unknown

  Scenario: The entry dies while the payment runs
    Given a system with 3 entries, three stages of engines and a plain service
    And a customer whose payments must not be repeated
    And the service replies after 2 seconds
    When the payment is sent through entry0, which dies
    And it is sent again through entry1 and entry2 at once
    Then the payment ran at most once
    And the outcomes are the truth
    And it ran exactly once, if yes

  Scenario: A payment with an issued key while the store is down
    Given a system with 3 entries, three stages of engines and a plain service
    And a customer whose payments must not be repeated
    And an idempotency key issued by entry0
    And the table is down
    When the payment is sent through entry0
    And it is sent again through entry1 and entry2 at once
    Then the payment ran at most once
    And every outcome is answered
    And the outcomes are the truth

  Scenario: A registration whose stage dies is not run again
    Given a system with 3 entries, three stages of engines and a plain service
    And a customer whose payments must not be repeated
    When an engine dies in the middle of a registration
    And the registration is sent again through entry1 and entry2 at once
    Then no registration was run in a second attempt
    And the journals pass
