Feature: Settings of the users' platform
  A file that lacks something is refused with all that is wrong, before the
  process listens.

  Scenario: Revoked keys must be refused in time
    Given the platform's settings with "bounds.revoke_strict=true, bounds.revoke_ms=5000"
    Then revoked keys are refused after 5.0 seconds at most

  Scenario: Revoked keys are not bounded strictly
    Given the platform's settings with "bounds.revoke_strict=false, bounds.revoke_ms=5000"
    Then revoked keys are refused without a bound

  Scenario: By how much rate limits may be exceeded
    Given the platform's settings with "bounds.quota_window_s=5, bounds.quota_overage=0.1, bounds.quota_slack=20"
    Then rate limits may be exceeded by 0.1 and 20 in 5 seconds

  Scenario: What the machine bears
    Guards against descriptors that the platform reserves being used for
    connections, and against a machine without a disk that counts as full.

    Given the platform's settings with "limits.memory_mb=88, limits.max_fds=500, limits.disk_mb=0"
    Then the process may use 88 MB, 300 descriptors and a disk of None MB

  Scenario Outline: A value that is missing or wrong
    Given the platform's settings with "<fields>"
    Then they are refused with "<message>"

    Examples:
      | fields                                                | message                           |
      | bounds.revoke_strict=true                             | bounds.revoke_ms: is missing      |
      | bounds.revoke_strict=yes                              | bounds.revoke_strict: 'yes'       |
      | bounds.revoke_strict=true, bounds.revoke_ms=soon      | bounds.revoke_ms: 'soon'          |
      | bounds.revoke_strict=true, bounds.revoke_ms=-1        | bounds.revoke_ms: '-1'            |
      | bounds.quota_window_s=0                               | bounds.quota_window_s: '0'        |
      | bounds.quota_overage=nan                              | bounds.quota_overage: 'nan'       |
      | bounds.quota_slack=many                               | bounds.quota_slack: 'many'        |
      | limits.memory_mb=0                                    | limits.memory_mb: '0'             |
      | limits.max_fds=200                                    | limits.max_fds: '200'             |
      | limits.disk_mb=all                                    | limits.disk_mb: 'all'             |
