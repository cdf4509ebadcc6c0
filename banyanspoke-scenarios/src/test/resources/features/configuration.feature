Feature: An accepted configuration is in force everywhere within 5 s and never reverts

  Scenario: Operators send different tickets with the same number
    Given a system of 3 entry hosts and 1 backend servers
    When operators race the next ticket through every host
    Then exactly 1 ticket is accepted
    And every host shows the latest ticket within 5 s
    And no rule is broken

  Scenario: The response to an append is lost after the append took effect
    Given a system of 2 entry hosts and 1 backend servers
    When the answer to the next append is lost
    And an operator sends the next ticket through host 1
    Then exactly 1 ticket is accepted
    And every host shows the latest ticket within 5 s
    And no rule is broken

  Scenario: A host starts while the log is down
    Given a system of 3 entry hosts and 1 backend servers
    When an operator sends the next ticket through host 1
    And every host shows the latest ticket within 5 s
    And the log is down
    And host 2 is killed
    And host 2 is started again
    Then host 2 shows the latest ticket within 5 s
    And no rule is broken

  Scenario: A host starts after old log records have expired
    Given a system of 3 entry hosts and 1 backend servers
    When an operator sends the next ticket through host 1
    And the log keeps only its latest 1 record
    And an operator sends the next ticket through host 1
    And host 2 is killed
    And host 2 is started again
    Then host 2 shows the latest ticket within 5 s
    And no rule is broken

  Scenario: A host that is cut off from the platform gets the configuration from its peers
    Given a system of 3 entry hosts and 1 backend servers
    When host 3 is cut off from the platform
    And an operator sends the next ticket through host 1
    Then host 3 shows the latest ticket within 5 s
    And no rule is broken

  Scenario: A frozen host resumes with outdated state
    Given a system of 3 entry hosts and 1 backend servers
    When host 2 is frozen
    And an operator sends the next ticket through host 1
    And an operator sends the next ticket through host 1
    And host 2 goes on
    Then host 2 shows the latest ticket within 5 s
    And no rule is broken
