Feature: Processes: operators and callers get a clear answer to every mistake

  Background:
    Given a running tier of 3 daemons

  Scenario: Settings that are wrong stop the daemon before it serves
    When a daemon process is started with the setting "platform.timeout_s" set to "-1"
    Then the daemon process ends with exit status 2 and names "platform.timeout_s"
    When a daemon process is started with the setting "cluster" set to "blue"
    Then the daemon process ends with exit status 2 and names "cluster: unknown key"
    When a daemon process is started without a settings file
    Then the daemon process ends with exit status 2 and names "--settings"
    And every VM of the running tier answers 5 queries whole

  Scenario Outline: A request that is wrong is refused and nothing else suffers
    When callers send queries to the running tier
    And a running tier gets a request with <mistake>
    Then the running tier refuses it with status <status> and reason <reason>
    And every request to the running tier was answered whole

    Examples:
      | mistake              | status | reason          |
      | a body that is no JSON | 400  | bad_request     |
      | no deadline          | 400    | bad_request     |
      | an unknown key       | 400    | bad_request     |
      | an unknown service   | 404    | unknown_service |
      | an unknown route     | 404    | unknown_route   |
      | a body above 1 MB    | 413    | body_too_large  |
      | a command without key | 400   | key_missing     |

  Scenario: Commands of the operators' tool
    Given a running tier has answered a query and a command
    Then zinnia "status" ends with exit code 0 and prints "vm-1 in kochi, ready"
    And zinnia "status --json" ends with exit code 0 and prints JSON
    And zinnia "config" ends with exit code 0 and prints "0 of 3 VMs behind"
    And zinnia "config --json" ends with exit code 0 and prints JSON
    And zinnia "explain QUERY" ends with exit code 0 and prints "sealed"
    And zinnia "explain vm-9-none-1" ends with exit code 5 and prints "unknown to"
    And zinnia "outcome billing KEY" ends with exit code 0 and prints "outcome: answered"
    And zinnia "outcome billing no-such-key" ends with exit code 5 and prints "records are kept"
    And zinnia "data-centre out kollam" ends with exit code 0 and prints "out in revision"
    And zinnia "data-centre in kollam" ends with exit code 0 and prints "in in revision"
    And zinnia "data-centre out atlantis" ends with exit code 1 and prints "is unknown"
    And zinnia "data-centre out atlantis --json" ends with exit code 1 and prints JSON
    And zinnia "moves no-such-move" ends with exit code 5 and prints "is unknown"
    And zinnia "status --server localhost" ends with exit code 2 and prints "is no address"
    And zinnia "status --server 127.0.0.1:9" ends with exit code 4 and prints "no VM could answer"
    And zinnia "no-such-command" ends with exit code 2 and prints "usage"

  Scenario: A release note is checked, applied once and protected against a race
    Given an operator has a release note that moves billing of the running tier to v2
    Then zinnia "note check NOTE" ends with exit code 0 and prints "is valid: 1 items"
    And zinnia "note apply --dry-run NOTE" ends with exit code 0 and prints "would be applied"
    And zinnia "moves" ends with exit code 0 and prints "no moves"
    And zinnia "note apply NOTE" ends with exit code 0 and prints "is applied in revision"
    And zinnia "moves --json" ends with exit code 0 and prints JSON
    And zinnia "note apply NOTE" ends with exit code 0 and prints "is applied already"
    And zinnia "note apply OLD-NOTE" ends with exit code 3 and prints "was written against revision"

  Scenario: A good version takes over before its hour
    Given an operator has a release note that moves field-app of the running tier to v2
    When callers send queries to the running tier
    Then zinnia "note apply NOTE" ends with exit code 0 and prints "is applied in revision"
    And the move of field-app in the running tier is done before its hour
    And every request to the running tier was answered whole
