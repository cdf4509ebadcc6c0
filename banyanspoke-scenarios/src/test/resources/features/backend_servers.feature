Feature: Failing and leaving backend servers

  Scenario: A server goes down while tasks are running
    Given a system of 2 entry hosts and 4 backend servers
    When callers submit 10 jobs of 30 idempotent tasks of 150 ms
    And 10 jobs have been accepted
    And 300 ms pass
    And server 1 dies
    And callers submit 10 jobs of 10 idempotent tasks of 100 ms
    And all callers have their answers
    Then at least 8 jobs are complete
    And no rule is broken

  Scenario Outline: A server that one source marks as leaving gets no new tasks although the others report it in service
    Given a system of 2 entry hosts and 4 backend servers
    And the host list says that every server is in service
    When callers submit 10 jobs of 10 idempotent tasks of 100 ms
    And server 2 <source>
    And an operator sends the next ticket through host 2
    And 3000 ms pass
    And callers submit 20 jobs of 20 idempotent tasks of 50 ms
    And all callers have their answers
    Then all jobs are complete
    And no rule is broken

    Examples:
      | source                              |
      | is marked as leaving by ticket      |
      | is marked as leaving by the host list |
      | says that it is leaving             |

  Scenario: A server freezes while tasks are running
    Given a system of 2 entry hosts and 4 backend servers
    When callers submit 4 jobs of 30 idempotent tasks of 100 ms
    And 4 jobs have been accepted
    And server 1 freezes
    And callers submit 10 jobs of 10 idempotent tasks of 100 ms
    And all callers have their answers
    Then at least 6 jobs are complete
    And no rule is broken
