Feature: Changes of the configuration
  An accepted configuration is in force everywhere within seconds and never
  reverts, whatever the key-value service and the links do.

  Background:
    Given a system that all scenarios of the feature share

  Scenario: The answer of the store is lost after the write
    The key-value service stores the change and its answer is lost. Told of a
    failure, the operator makes the change a second time, or worse, tells
    everybody that the old target stands.

    Given the store loses the answer to the next write of the configuration
    When change "lost-1" sets the default target to 21
    Then the change is accepted with the next number
    And "classes.default.target_seconds" becomes 21 at every instance

  Scenario: The operator's answer is lost and the change sent again
    The connection to the operator breaks after the change was accepted. Its
    command sends the same change again and must not meet a conflict with
    itself, nor change anything twice.

    When change "again-1" sets the default target to 22
    And change "again-1" is sent again
    Then the change is accepted with the same number
    And "classes.default.target_seconds" becomes 22 at every instance

  Scenario: Sent again after another operator built on it
    Between the lost answer and the second sending, another operator's change
    was accepted on top. Told of a conflict, the first operator would believe
    that the change was not made.

    When change "again-2" sets the default target to 23
    And another change sets the default target to 24
    And change "again-2" is sent again
    Then the change is accepted with the same number
    And "classes.default.target_seconds" becomes 24 at every instance

  Scenario: A change id used for another change
    When change "twice-1" sets the default target to 25
    And change "twice-1" is sent again with another target
    Then the change is refused as "config_conflict" and "no"

  Scenario: The store is silent
    When the store is down
    And change "down-1" sets the default target to 26
    Then the change is refused as "store_unavailable" and "no"
    When the store is up again
    Then no instance has the default target 26

  Scenario: The stored document is broken
    Somebody writes to the store by hand. Taken for an empty one, it would be
    overwritten under a low number, which no instance takes: the change would
    be confirmed and never come into force.

    When the stored configuration is broken by hand
    And change "broken-1" sets the default target to 27
    Then the change is refused as "internal" and "no"
    When the stored configuration is mended by hand
    And change "broken-2" sets the default target to 28
    Then the change is accepted with the next number

  Scenario: The store lost the configuration
    The service comes back from an older backup, or empty. Numbered from there
    the next change would have a number that instances have seen, and they
    would keep what they had.

    When the stored configuration is deleted by hand
    And change "empty-1" sets the default target to 29
    Then the change is accepted with the next number
    And "classes.default.target_seconds" becomes 29 at every instance

  Scenario: Instances that are cut off are named, and follow later
    A failure domain loses the others and the store. The operator must learn
    which instances still work by the old targets, and these must take the new
    ones by themselves when the links are back.

    When the links of failure domain 2 to the store and the others are cut
    And the operator runs "target set default 31 --percent 80"
    Then the command exits with 7
    And it says "alba-north-1"
    And it says "alba-north-2"
    When all links are back
    Then "classes.default.target_seconds" becomes 31 at every instance

  Scenario: What would lose programs is refused
    When a change takes out failure domain "alba-west"
    Then the change is refused as "config_invalid" and "no"
    When a change gives failure domain "alba-west" 7 shards
    Then the change is refused as "config_invalid" and "no"

  Scenario: The history tells who and when, and stays bounded
    When 75 changes are accepted one after another
    Then the history has the last 50 of them, with operator and time
    And the store keeps fewer than 65 earlier documents

  Scenario: Instances that are gone for good are no longer named
    An instance is replaced under another name. If it were named for ever, no
    change would ever again be reported as in force everywhere. One that is
    only cut off must go on being named, and being reached.

    Given instances "cut-off", "replaced" and "owner" that lose their leases at 0 s
    And "cut-off" is heard at 50 s
    Then at 59 s all three are known
    And at 109 s "cut-off" and "owner" are known
    And at 111 s "owner" is known
    But while the store is silent, nobody is forgotten
