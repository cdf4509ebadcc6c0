Feature: A job refused as not run has not run

  Scenario: A team over its quota is refused
    Given a system of 3 entry hosts and 4 backend servers
    # In its first 6 s a host uses only half of its quota share, because its predecessor may have lent the rest.
    When 6000 ms pass
    And callers of the limited team submit 30 jobs of 8 idempotent tasks of 500 ms
    And all callers have their answers
    Then at least 20 jobs have failed with QUOTA_EXCEEDED
    And at least 3 jobs are complete
    And every job is complete or has failed with QUOTA_EXCEEDED
    And no rule is broken

  Scenario: A job under an expired contract is refused at every host
    Given a system of 3 entry hosts and 4 backend servers
    When callers of the expired contract submit 10 jobs of 20 idempotent tasks of 50 ms through every host at once
    And all callers have their answers
    Then all jobs have failed with CONTRACT_EXPIRED
    And no task was started
    And no rule is broken
