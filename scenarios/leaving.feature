Feature: What leaves gets no new work after 3 s

  Background:
    Given 3 VMs that serve two shards with two replicas each

  Scenario: A data centre is taken out and returned
    When queries come at 20 a second
    And 1 s pass
    And an operator takes dc-b out at vm-1
    And 3 s pass
    Then dc-b gets nothing for 2 s
    When an operator takes dc-b in at vm-2
    And 12 s pass
    Then dc-b gets work
    And no query failed
    And all promises held

  Scenario: The platform goes down right after the change was accepted
    When queries come at 20 a second
    And 1 s pass
    And an operator takes dc-b out at vm-1
    And the platform goes down
    And 3 s pass
    Then dc-b gets nothing for 2 s
    And no query failed
    And all promises held

  Scenario: One VM is cut off from its peers at the same time
    When queries come at 20 a second
    And 1 s pass
    And vm-3 is cut off from its peers
    And an operator takes dc-b out at vm-1
    And 3 s pass
    Then dc-b gets nothing for 2 s
    And all promises held

  Scenario: A replica drains
    When queries come at 20 a second
    And 1 s pass
    And v1-00-dc-a drains
    And 3 s pass
    Then v1-00-dc-a is sent nothing for 2 s
    And no query failed
    And all promises held
