Feature: A stage dies while a request is running
  The request continues in a new attempt after the last delivered token. Its caller sees
  only a pause.

  Scenario Outline: An engine of stage <stage> dies <moment>
    Given a system with 2 entries and three stages of engines
    And the engine of stage <stage> dies <moment>
    When a caller requests 16 tokens
    Then the engine of stage <stage> has died
    And the answer is complete and equals the fault-free answer
    And the request took 2 attempts
    And the run journals are consistent

    Examples:
      | stage | moment                |
      | 0     | before prefill        |
      | 2     | before prefill        |
      | 0     | in prefill            |
      | 1     | in prefill            |
      | 0     | in decode             |
      | 1     | in decode             |
      | 2     | in decode             |
      | 1     | at the last token     |
      | 2     | at the last token     |

  Scenario Outline: The VM of stage <stage> dies in decode
    Given a system with 2 entries and three stages of engines
    When a caller requests 16 tokens and the VM of stage <stage> dies after 6
    Then the answer is complete and equals the fault-free answer
    And the request took 2 attempts
    And the run journals are consistent

    Examples:
      | stage |
      | 0     |
      | 2     |

  Scenario: Stages die in two attempts of one request
    Given a system with 2 entries and three stages of engines
    And the engine of stage 1 dies in prefill
    When a caller requests 16 tokens and the VM of stage 2 dies after 6
    Then the engine of stage 1 has died
    And the answer is complete and equals the fault-free answer
    And the request took 3 attempts
    And the run journals are consistent
