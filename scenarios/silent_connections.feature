Feature: A silent connection is found within 2 s

  Background:
    Given 3 VMs that serve two shards with two replicas each

  Scenario: All idle connections go silent
    When queries come at 30 a second
    And 1 s pass
    And the queries end
    And 0.5 s pass
    And the connections of all replicas go silent
    And 2 s pass
    Then no silent connection is open
    When queries come again at 20 a second
    And 1 s pass
    Then no query failed
    And all promises held

  Scenario: Connections go silent in mid-request
    When queries come at 30 a second with 4 s to answer
    And 1 s pass
    And the connections of v1-00-dc-a go silent
    And 2 s pass
    Then no silent connection is open
    When 1 s pass
    Then no query failed
    And all promises held

  Scenario: A command is on a connection that goes silent
    When key K1 is sent to vm-1 with 6 s to answer
    And key K1 runs
    And the connections of all replicas go silent
    And 2 s pass
    Then no silent connection is open
    And vm-1 answers unknown within 0.2 s
    And key K1 ran 1 time
    And all promises held
