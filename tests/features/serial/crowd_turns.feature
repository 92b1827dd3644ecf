Feature: Turns that fill a storage instance
  Callers keep more text than fits into the memory, or onto the disk, of a
  storage instance. It would be killed, and again whenever it starts, or end as
  its disk is full.

  Scenario Outline: More text is kept than fits into the memory
    Guards against storage instances that hold all kept texts in memory.

    Given a small system with machines of 88 MB and 120 MB, 4100 descriptors and bodies of up to 1048576 bytes
    When <count> turns of <size> bytes are kept, a few at a time
    Then no process has ended
    And an ordinary payment and an ordinary turn are answered
    And the first and the last of these turns can be continued
    And no machine is over its memory or its descriptors

    Examples:
      | count | size    |
      | 160   | 1000000 |
      | 2000  | 80000   |

  Scenario: More text is kept than fits onto the disk
    Guards against turns that run and can't be kept, and against a full disk.

    Given a small system with machines of 88 MB and 120 MB, and disks of 100 MB
    When 160 turns of 1000000 bytes are kept, a few at a time
    Then no process has ended
    And every other one of them was refused with 503
    And no disk is over its size
    And the first and the last of these turns can be continued
    And no machine is over its memory or its descriptors

  Scenario Outline: Messages between instances that don't end
    Guards against a storage instance that holds what instances announce.

    Given a small system with machines of 88 MB and 120 MB, 4100 descriptors and bodies of up to 1048576 bytes
    When <count> messages of <size> bytes between instances stop short of their end
    Then no process has ended
    And an ordinary payment and an ordinary turn are answered
    And no machine is over its memory or its descriptors

    Examples:
      | count | size     |
      | 80    | 4000000  |
      | 4     | 60000000 |

  Scenario Outline: Requests in parts that don't end
    Guards against a storage instance that holds the parts of all of them, and
    against a kernel that does.

    Given a small system with machines of 88 MB and 120 MB, 4100 descriptors and bodies of up to 1048576 bytes
    When <count> requests of 4000000 bytes between instances stop short of their last part
    Then no process has ended
    And an ordinary payment and an ordinary turn are answered
    And no machine is over its memory or its descriptors

    Examples:
      | count |
      | 80    |
      | 400   |

  Scenario: Messages of frames that don't end
    Guards against a storage instance that holds the frames of a message until
    its last one.

    Given a small system with machines of 88 MB and 120 MB, 4100 descriptors and bodies of up to 1048576 bytes
    When 80 messages of 4000000 bytes in frames of 50000 stop short of their last frame
    Then no process has ended
    And an ordinary payment and an ordinary turn are answered
    And no machine is over its memory or its descriptors

  Scenario: Messages between instances that can't be decoded
    Guards against a storage instance that queues what it can't use.

    Given a small system with machines of 88 MB and 120 MB, 4100 descriptors and bodies of up to 1048576 bytes
    When 80 instances send 4000000 bytes that are no message
    Then no process has ended
    And an ordinary payment and an ordinary turn are answered
    And no machine is over its memory or its descriptors
