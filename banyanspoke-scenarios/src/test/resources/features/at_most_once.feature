Feature: Every task of a submission starts at most once

  Scenario: Jobs are submitted through every host concurrently
    Given a system of 3 entry hosts and 4 backend servers
    When callers submit 12 jobs of 20 non-idempotent tasks of 100 ms through host 1 and all others at once
    And all callers have their answers
    Then all jobs are complete
    And no rule is broken

  Scenario: The owner is killed while its jobs are running
    Given a system of 3 entry hosts and 4 backend servers
    # Each task runs for 4 s, so that no job has ended when the host is killed.
    When callers submit 6 jobs of 5 non-idempotent tasks of 4000 ms through host 1
    And 6 jobs have been accepted
    And 6 tasks have been started and none has ended
    And host 1 is killed
    And host 1 is started again
    And all callers have their answers
    Then at least 6 jobs have failed with OWNER_LOST
    And no rule is broken

  Scenario: The owner is frozen while callers resubmit, then resumes
    Given a system of 3 entry hosts and 4 backend servers
    When callers submit 6 jobs of 40 non-idempotent tasks of 100 ms through host 1 and all others at once
    And 6 jobs have been accepted
    And 300 ms pass
    And host 1 is frozen
    And 4000 ms pass
    And host 1 goes on
    And all callers have their answers
    Then no rule is broken

  Scenario: The owner is cut off from its peers while callers resubmit
    Given a system of 3 entry hosts and 4 backend servers
    When host 1 is cut off from its peers
    And callers submit 6 jobs of 40 non-idempotent tasks of 100 ms through host 1 and all others at once
    And 6 jobs have been accepted
    And 3000 ms pass
    And host 1 is reachable again
    And all callers have their answers
    Then all jobs are complete
    And no rule is broken
