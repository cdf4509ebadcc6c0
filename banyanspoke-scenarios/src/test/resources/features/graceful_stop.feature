Feature: A graceful shutdown aborts no request

  Scenario: Every entry host is restarted in turn under load
    Given a system of 3 entry hosts and 4 backend servers
    # 20 of the 60 jobs precede each shutdown. Submitted together, all would end before the second shutdown, and a slow
    # machine would correctly refuse some that it cannot complete within the promised time.
    When callers submit 20 jobs of 20 non-idempotent tasks of 100 ms before each host is restarted gracefully in turn
    And all callers have their answers
    Then all jobs are complete
    And no rule is broken

  Scenario: Resubmissions after a graceful shutdown get the response from the successor
    Given a system of 3 entry hosts and 4 backend servers
    When callers submit 6 jobs of 20 non-idempotent tasks of 100 ms through host 1 and all others at once
    And 6 jobs have been accepted
    And host 1 stops gracefully
    And all callers have their answers
    Then all jobs are complete
    And no rule is broken

  Scenario: A host with jobs of several seconds shuts down while callers keep their connections open
    Given a system of 3 entry hosts and 4 backend servers
    When callers submit 30 jobs of 2 idempotent tasks of 20 ms through host 1
    And all callers have their answers
    And callers submit 6 jobs of 8 non-idempotent tasks of 4000 ms through host 1
    And 36 jobs have been accepted
    And 500 ms pass
    And host 1 begins to stop gracefully
    And callers submit 10 jobs of 2 idempotent tasks of 50 ms
    And all callers have their answers
    Then host 1 has stopped gracefully
    And at least 36 jobs are complete
    And every job is complete or has failed with DRAINING
    And no rule is broken
