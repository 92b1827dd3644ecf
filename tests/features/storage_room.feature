Feature: Room for kept turns
  The texts of kept turns are on disk, and a storage instance that has no room
  for more says so before they run.

  Scenario: Texts that are on disk only
    Guards against turns that can't be read, or are read as others, once they
    are no longer in memory.

    Given storage instances "a, b, c"
    And their memory holds no text of a turn
    When a conversation of 30 made-up turns is kept
    Then a new front end beside "a" reads the conversation as it was kept
    When "a, b, c" are killed and restarted
    And their memory holds no text of a turn
    Then a new front end beside "b" reads the conversation as it was kept

  Scenario: A conversation that comes in several replies
    Guards against a chain that is cut where a reply ends, and against long
    chains that take more memory than was reserved.

    Given storage instances "a, b, c"
    When a conversation of 30 made-up turns is kept
    Then a new front end reads it in replies of 1, 1000 and 20000 bytes
    And it reserved twice the size of the texts for it
    But with memory for half of it, it is refused and nothing stays reserved

  Scenario: A front end is told that a storage instance is full
    Guards against turns that run and then can't be kept.

    Given storage instances "a, b, c"
    When the disks of "a" are full, and a front end has pinged all
    Then it lets turns begin
    When the disks of "a, b, c" are full, and a front end has pinged all
    Then it lets no turn begin
    And a turn that ran before is kept nevertheless
    When the disks of "a, b, c" have room, and a front end has pinged all
    Then it lets turns begin

  Scenario: Turns that are written at once
    Guards against texts that together exceed the memory while they are written.

    Given storage instances "a, b, c"
    And each writes 1000 bytes of texts at a time
    When 10 turns of 600 bytes are kept at once
    Then each of them is on enough disks
    And no instance wrote more than 1000 bytes of texts at a time

  Scenario Outline: What a storage instance has room for
    Given a storage instance with <memory> MB and a disk of <disk> MB
    When it holds <turns> turns and <used> MB are on its disk
    Then it is full: <full>, and keeps a text of 1 MB: <kept>

    Examples: small machines, and the turns that fill the memory without a text
      | memory | disk | turns   | used | full | kept |
      | 120    | 330  | 1000    | 200  | no   | yes  |
      | 120    | 330  | 1000    | 250  | yes  | yes  |
      | 120    | 330  | 1000    | 297  | yes  | no   |
      | 120    | 330  | 20000   | 0    | yes  | yes  |
      | 340    | 500  | 20000   | 0    | no   | yes  |
