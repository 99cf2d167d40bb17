Feature: Non-repeatable requests run at most once

  Background:
    Given 3 VMs that serve two shards with two replicas each

  Scenario: The same key is sent to two VMs at the same time
    When key K1 is sent to vm-1 and vm-2 at the same time
    Then vm-1 answers answered or unknown within 2.1 s
    And vm-2 answers answered or unknown within 2.1 s
    And key K1 ran 1 time
    And all promises held

  Scenario: A key is sent again after its holder was killed before the request ran
    When the platform answers 0.1 s late
    And key K1 is sent to vm-1
    And the claim of key K1 is written
    And vm-1 is killed
    And key K1 is sent to vm-2
    Then vm-2 answers unknown within 2.1 s
    And key K1 ran 0 times
    And all promises held

  Scenario: A key is sent again after its holder was killed while the request ran
    When key K1 is sent to vm-1
    And key K1 runs
    And vm-1 is killed
    And key K1 is sent to vm-2
    Then vm-2 answers answered or unknown within 2.1 s
    When key K1 is sent to vm-3
    Then vm-3 answers answered or unknown within 2.1 s
    And key K1 ran 1 time
    And all promises held

  Scenario: The holder is paused after its claim and wakes when all is over
    When the platform answers 0.1 s late
    And key K1 is sent to vm-1
    And the claim of key K1 is written
    And vm-1 is paused
    And key K1 is sent to vm-2
    Then vm-2 answers unknown within 2.1 s
    When 20 s pass
    And vm-1 resumes
    Then vm-1 answers not_run or unknown within 1 s
    And key K1 ran 0 times
    And all promises held

  Scenario: The holder is paused before its claim and wakes after another VM ran the request
    When key K1 is sent to vm-1
    And vm-1 is paused
    And key K1 is sent to vm-2
    Then vm-2 answers answered within 2.1 s
    When 20 s pass
    And vm-1 resumes
    Then vm-1 answers not_run or answered within 1 s
    And key K1 ran 1 time
    And all promises held

  Scenario: The reply of the claim is lost
    When the platform loses the reply of the next write
    And key K1 is sent to vm-1
    Then vm-1 answers answered within 2.1 s
    When key K1 is sent to vm-2
    Then vm-2 answers answered within 2.1 s
    And key K1 ran 1 time
    And all promises held

  Scenario: The claim takes effect late, after its caller has turned to another VM
    When the platform loses the reply of the next write, which takes effect 3 s later
    And key K1 is sent to vm-1
    And 0.2 s pass
    And key K1 is sent to vm-2
    And 4 s pass
    And key K1 is sent to vm-3
    Then vm-3 answers answered within 2.1 s
    And key K1 ran 1 time
    And all promises held

  Scenario: The platform is down
    When the platform goes down
    And key K1 is sent to vm-1
    Then vm-1 answers not_run or unknown within 2.1 s
    And key K1 ran 0 times
    When the platform comes back
    And key K1 is sent to vm-2
    Then vm-2 answers answered within 2.1 s
    And key K1 ran 1 time
    And all promises held

  Scenario: All VMs are restarted while the request runs
    When key K1 is sent to vm-1
    And key K1 runs
    And all VMs are restarted
    And key K1 is sent to vm-3
    Then vm-3 answers unknown within 2.1 s
    And key K1 ran 1 time
    And all promises held
