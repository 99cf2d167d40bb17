Feature: An accepted configuration is in force everywhere soon and never reverts

  Background:
    Given 4 VMs that serve two shards with two replicas each

  Scenario: A change is in force on all VMs
    When an operator takes dc-b out at vm-1
    Then all VMs have revision 2 within 3 s
    And all promises held

  Scenario: The reply of the change is lost
    When the platform loses the reply of the next write
    And an operator takes dc-b out at vm-1
    Then all VMs have revision 2 within 3 s
    And all promises held

  Scenario: Another tool writes the change and no VM is told
    When another tool writes revision 2
    Then all VMs have revision 2 within 3 s
    And all promises held

  Scenario: A VM that was cut off when the change was made comes back
    When vm-4 is cut off from its peers
    And the platform cannot be reached from vm-4
    And an operator takes dc-b out at vm-1
    Then all ready VMs have revision 2 within 3.5 s
    When 2 s pass
    And the cuts are healed
    Then all VMs have revision 2 within 3 s
    And all promises held

  Scenario: A VM restarts while the platform is down
    When an operator takes dc-b out at vm-1
    Then all VMs have revision 2 within 3 s
    When the platform goes down
    And vm-3 is killed
    And vm-3 starts again
    And 8 s pass
    Then all VMs have revision 2 within 3 s
    And all promises held

  Scenario: Two operators race
    When operators take dc-a out at vm-1 and dc-b out at vm-2 at the same time
    Then one operator was told of the conflict, or both changes are in force
    And all promises held

  Scenario: Two changes reach a VM in the wrong order
    When vm-1 and vm-4 are cut from each other
    And an operator takes dc-b out at vm-1
    And an operator takes dc-b in at vm-2
    Then all VMs have revision 3 within 0.5 s
    When the cuts are healed
    And 1 s pass
    Then all VMs have revision 3 within 1 s
    And all promises held

  Scenario: All VMs are replaced one by one while the platform is down
    When an operator takes dc-b out at vm-1
    Then all VMs have revision 2 within 3 s
    When the platform goes down
    And each VM is stopped and another one starts, 4 s apart
    Then all ready VMs have revision 2 within 5 s
    And at least 3 VMs are ready
    And all promises held
