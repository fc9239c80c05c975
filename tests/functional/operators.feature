Feature: Operators change the system by tickets only

  Scenario: A ticket is filed
    Given a running entry instance
    And the ticket file "quota.yaml"
    When the operator runs "ticket file quota.yaml"
    Then the exit status is 0
    And the output contains "Accepted as ticket 1"
    And 1 ticket is in force

  Scenario: The same ticket is filed twice
    Given a running entry instance
    And the ticket file "quota.yaml"
    When the operator runs "ticket file quota.yaml"
    And the operator runs "ticket file quota.yaml"
    Then the exit status is 0
    And the output contains "Accepted as ticket 1"
    And 1 ticket is in force

  Scenario: A conflicting ticket is refused with the ticket that changed the object
    Given a running entry instance
    And the ticket file "quota.yaml"
    And the ticket file "other.yaml" with "raise-quota" replaced by "other-quota"
    When the operator runs "ticket file quota.yaml"
    And the operator runs "ticket file other.yaml"
    Then the exit status is 4
    And the errors contain "ticket=1"
    And the errors contain "Read ticket 1"
    And 1 ticket is in force

  Scenario: A bad ticket names file, line, path and remedy
    Given a running entry instance
    And the ticket file "bad.yaml" with "500m" replaced by "500"
    When the operator runs "ticket file bad.yaml"
    Then the exit status is 3
    And the errors contain "line=15, path=set.jobs.recalibration.resources.cpu"
    And the errors contain "2 cores or 500m"
    And 0 tickets are in force

  Scenario: A mistyped flag is refused before anything is filed
    Given a running entry instance
    And the ticket file "quota.yaml"
    When the operator runs "ticket file quota.yaml --dry_rn"
    Then the exit status is 2
    And the errors contain "--dry_rn is unknown"
    And 0 tickets are in force

  Scenario: No entry instance is reachable
    Given an entry instance that has stopped
    And the ticket file "quota.yaml"
    When the operator runs "ticket file quota.yaml"
    Then the exit status is 5
    And the errors contain "No entry instance answers"
    And the errors contain "repeating it with the same id is safe"

  Scenario: The second entry instance answers when the first has stopped
    Given an entry instance that has stopped
    And a running entry instance
    And the ticket file "quota.yaml"
    When the operator runs "ticket file quota.yaml"
    Then the exit status is 0
    And 1 ticket is in force

  Scenario: The outcome of a lost answer is not reported as a refusal
    Given a running entry instance
    And the store loses the answer of the write
    And the ticket file "quota.yaml"
    When the operator runs "ticket file quota.yaml"
    Then the exit status is 1
    And the errors contain "File the same ticket again"

  Scenario: A ticket is not in force on every live instance
    Given a running entry instance
    And the ticket file "quota.yaml"
    And the live instance "e2" has ticket 0 in force
    When the operator runs "ticket file quota.yaml"
    And the operator runs "ticket wait 1 --timeout-s=0"
    Then the exit status is 3
    And the output contains "Ticket 1 is not in force on e2"

  Scenario: A team waits for its job and learns why it waits
    Given a running entry instance
    And a token of team "labs"
    When the operator runs "job submit nightly --team=labs --cpu=500m --memory='1 GiB' --submission-id=1e3"
    And the operator runs "job wait a.1e3 --timeout-s=0"
    Then the exit status is 3
    And the output contains "job a.1e3 is waiting"

  Scenario: A team cannot cancel the job of another team
    Given a running entry instance
    And a token of team "labs"
    When the operator runs "job submit nightly --team=labs --cpu=500m --memory='1 GiB' --submission-id=007"
    And a token of team "counters"
    And the operator runs "job cancel a.007"
    Then the exit status is 3
    And the errors contain "The job does not exist"
    And job "a.007" is waiting
