Feature: Two failures at the same time break no promise

  Background:
    Given 4 VMs that serve two shards with two replicas each

  Scenario: The reply of a claim is lost and its holder is killed
    When the platform answers 0.1 s late
    And the platform loses the reply of the next write
    And key K1 is sent to vm-1
    And the claim of key K1 is written
    And vm-1 is killed
    And key K1 is sent to vm-2
    And key K1 is sent to vm-3
    And 5 s pass
    Then key K1 ran 0 times
    And all promises held

  Scenario: A command at a VM that is cut off and at another one
    When vm-1 is cut off from its peers
    And key K1 is sent to vm-1 and vm-2 at the same time
    And 4 s pass
    And the cuts are healed
    And 4 s pass
    Then key K1 ran at most once
    And all promises held

  Scenario: A command on a server that crashes while its holder is paused
    When key K1 is sent to vm-1
    And key K1 runs
    And vm-1 is paused
    And all replicas crash
    And key K1 is sent to vm-2
    And 4 s pass
    And vm-1 resumes
    And 2 s pass
    Then key K1 ran 1 time
    And all promises held

  Scenario: A replica restarts while its data centre is out and comes back
    When queries come at 30 a second
    And 1 s pass
    And an operator takes dc-b out at vm-1
    And v1-00-dc-b crashes
    And 2 s pass
    And an operator takes dc-b in at vm-2
    And 6 s pass
    Then v1-00-dc-b has run requests since it turned cold
    And v1-00-dc-b crashed 1 time
    And all promises held

  Scenario: The snapshot changes while an owner is killed
    When queries come at 30 a second
    And 1 s pass
    And the owner of v1-00-dc-a is killed
    And the index is divided into three shards as snapshot s2 and s1 is gone
    And 5 s pass
    Then queries have been answered from s2
    And all promises held

  Scenario: The snapshot changes while a VM is cut off
    When queries come at 30 a second
    And 1 s pass
    And vm-3 is cut off from its peers
    And the index is divided into three shards as snapshot s2 and s1 is gone
    And 3 s pass
    And the cuts are healed
    And 3 s pass
    Then queries have been answered from s2
    And all promises held

  Scenario: Connections go silent while the owner is paused
    When queries come at 30 a second
    And 1 s pass
    And the owner of v1-00-dc-a is paused
    And the connections of v1-00-dc-a go silent
    And 4 s pass
    And the paused VM resumes
    And 2 s pass
    Then no silent connection is open
    And all promises held

  Scenario: A replica drains while the platform is down and an owner is killed
    When queries come at 20 a second
    And 1 s pass
    And the platform goes down
    And v1-00-dc-a drains
    And the owner of v1-00-dc-a is killed
    And 5 s pass
    Then v1-00-dc-a is sent at most one request in 2 s
    And all promises held

  Scenario: All replicas restart while a VM is stopped
    When queries come at 30 a second
    And 1 s pass
    And all replicas crash
    And vm-2 is stopped
    And 4 s pass
    Then every replica crashed 1 time
    And all promises held

  Scenario: The configuration changes while a VM is paused and another restarts
    When vm-4 is paused
    And an operator takes dc-b out at vm-1
    And vm-3 is killed
    And vm-3 starts again
    And 2 s pass
    And an operator takes dc-b in at vm-2
    And 2 s pass
    And vm-4 resumes
    Then all VMs have revision 3 within 6 s
    And all promises held

  Scenario: The platform loses replies while operators race
    When the platform loses the reply of the next write
    And operators take dc-a out at vm-1 and dc-b out at vm-2 at the same time
    Then one operator was told of the conflict, or both changes are in force
    And all promises held
