Feature: A cell of entry instances keeps its guarantees to callers and operators

  Background:
    Given a cell of two failure domains with two entry instances each
    And a ticket that declares the service is in force everywhere

  Scenario: A planned stop under load loses no accepted request
    Given callers send requests through every entry instance
    When the operator stops one entry instance with SIGTERM
    Then that entry instance ends with status 0
    And no caller loses a request that the instance had accepted

  Scenario: The leader of a failure domain is killed
    Given a deferred job is running in the failure domain
    When the leader of the failure domain is killed
    Then another instance leads the failure domain
    And every caller of the other instances is answered again
    And every task of the job has completed exactly once

  Scenario: A failure domain is partitioned from the store and from its peers
    When a failure domain is partitioned from the store and from its peers
    Then callers in that failure domain are still answered
    When the failure domain is connected again
    Then the next ticket is in force on every entry instance

  Scenario: An endpoint leaves
    Given callers send requests through every entry instance
    When the platform's list shows an endpoint as leaving
    Then the endpoint receives no more requests
    And every request is answered

  Scenario: Two operators file tickets for the same service
    When two operators file tickets for the same service at the same time
    Then exactly one of them is accepted and the other receives a conflict

  Scenario: A caller repeats a keyed request through another instance
    When a caller repeats a request with the same key through every entry instance
    Then the request has run once and every answer is the same
