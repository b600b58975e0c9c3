package org.dragonflyhill.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

/** Topics that a few nodes read for all. */
public final class SharedTopicTest {

  private static final Instant NOW = Instant.ofEpochSecond(1_000);

  private static TopicProgress.Entry entry(long offset) {
    return new TopicProgress.Entry(offset, "k" + offset, new byte[] {1});
  }

  private static LogPosition at(long offset) {
    return new LogPosition(0, offset);
  }

  private static TopicProgress progress(SharedTopic reader, Instant now) {
    return reader.progress(now).orElseThrow();
  }

  /** Records without news are skipped, those that change something are passed on in order. */
  @Test
  public void passesOnWhatChanges() {
    SharedTopic reader = new SharedTopic("t");
    SharedTopic other = new SharedTopic("t");
    reader.recordRead(0, 0, 10, Optional.of(List.of()), NOW);
    reader.recordRead(0, 10, 20, Optional.of(List.of(entry(12), entry(15))), NOW);
    var report = progress(reader, NOW.plusMillis(100));
    assertEquals(other.accept(report, at(10), NOW).orElseThrow(), List.of(entry(12), entry(15)));
    assertEquals(other.accept(report, at(13), NOW).orElseThrow(), List.of(entry(15)));
    assertEquals(other.accept(report, at(20), NOW).orElseThrow(), List.of());
  }

  /** A node that misses records which are not reported any more reads at once. */
  @Test
  public void gapMakesNodeReadAtOnce() {
    SharedTopic reader = new SharedTopic("t");
    SharedTopic other = new SharedTopic("t");
    reader.recordRead(0, 50, 60, Optional.of(List.of()), NOW);
    assertTrue(other.accept(progress(reader, NOW), at(60), NOW).isPresent());
    assertTrue(other.relyUntil(NOW).isPresent());
    assertEquals(other.accept(progress(reader, NOW), at(40), NOW), Optional.empty());
    assertEquals(other.relyUntil(NOW), Optional.empty());
  }

  /** Records that are not passed on, such as a configuration, make all others read them. */
  @Test
  public void unsharedRecordsMakeOthersRead() {
    SharedTopic reader = new SharedTopic("t");
    SharedTopic other = new SharedTopic("t");
    reader.recordRead(0, 0, 5, Optional.empty(), NOW);
    reader.recordRead(0, 5, 5, Optional.empty(), NOW);
    assertTrue(other.accept(progress(reader, NOW), at(5), NOW).isPresent());
    reader.recordRead(0, 5, 6, Optional.empty(), NOW);
    assertEquals(other.accept(progress(reader, NOW), at(5), NOW), Optional.empty());
  }

  /** The newest few changes are reported, each for a limited time. */
  @Test
  public void reportsAreBounded() {
    SharedTopic reader = new SharedTopic("t");
    List<TopicProgress.Entry> entries = new ArrayList<>();
    for (int i = 0; i < 47; i++) {
      entries.add(entry(i));
    }
    reader.recordRead(0, 0, 47, Optional.of(entries), NOW);
    var report = progress(reader, NOW);
    assertEquals(report.records().size(), SharedTopic.MAX_RECORDS);
    assertEquals(report.from(), 47 - SharedTopic.MAX_RECORDS);
    Instant later = NOW.plus(SharedTopic.REPEAT_TIME).plusMillis(1);
    reader.recordRead(0, 47, 47, Optional.of(List.of()), later);
    assertEquals(progress(reader, later).records(), List.of());
    assertEquals(progress(reader, later).from(), 47);
  }

  /** After a time in which it relied on others, a reader does not report what it did not read. */
  @Test
  public void readerReportsOnlyWhatItRead() {
    SharedTopic reader = new SharedTopic("t");
    reader.recordRead(0, 0, 5, Optional.of(List.of(entry(3))), NOW);
    reader.recordRead(0, 9, 12, Optional.of(List.of(entry(10))), NOW.plusSeconds(2));
    var report = progress(reader, NOW.plusSeconds(2));
    assertEquals(report.from(), 9);
    assertEquals(report.records(), List.of(entry(10)));
  }

  /** A reader that dies, freezes or is cut off is relied on for 0.9 s after its last read. */
  @Test
  public void silentReaderIsReliedOnBriefly() {
    SharedTopic reader = new SharedTopic("t");
    SharedTopic other = new SharedTopic("t");
    reader.recordRead(0, 0, 5, Optional.of(List.of()), NOW);
    Instant heardAt = NOW.plusMillis(300);
    other.accept(progress(reader, heardAt), at(5), heardAt);
    assertEquals(other.relyUntil(heardAt), Optional.of(NOW.plus(SharedTopic.MAX_AGE)));
    assertEquals(other.relyUntil(NOW.plus(SharedTopic.MAX_AGE)), Optional.empty());
    assertEquals(reader.progress(NOW.plus(SharedTopic.MAX_AGE).plusMillis(1)), Optional.empty());
  }

  /** A reader that is behind confirms nothing to a node that knows more. */
  @Test
  public void readerBehindConfirmsNothing() {
    SharedTopic reader = new SharedTopic("t");
    SharedTopic other = new SharedTopic("t");
    reader.recordRead(0, 0, 5, Optional.of(List.of()), NOW);
    assertEquals(other.accept(progress(reader, NOW), at(9), NOW), Optional.of(List.of()));
    assertEquals(other.relyUntil(NOW), Optional.empty());
  }

  /** The number of readers grows with the groups of peers, so that each node hears one in time. */
  @Test
  public void readersGrowWithGroupsOfPeers() {
    for (int count : new int[] {4, 21, 38, 300}) {
      List<String> nodes = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        nodes.add("n" + i);
      }
      SharedTopic topic = new SharedTopic("t");
      long readers =
          nodes.stream()
              .filter(
                  node ->
                      topic.isReader(
                          node, nodes.stream().filter(other -> !other.equals(node)).toList()))
              .count();
      assertEquals(readers, PeerSchedule.REPORTS.groups(count - 1), "of " + count);
    }
    assertTrue(new SharedTopic("t").isReader("alone", List.of()));
  }

  /**
   * Guards against records missed after a restore of the log (review case 5): offsets are given out
   * again, so that a report of another epoch must neither confirm nor bring anything.
   */
  @Test
  public void reportsOfAnotherEpochAreNotReliedOn() {
    SharedTopic reader = new SharedTopic("t");
    SharedTopic other = new SharedTopic("t");
    reader.recordRead(0, 0, 5, Optional.of(List.of(entry(4))), NOW);
    final var before = progress(reader, NOW);
    reader.recordRead(1, 0, 5, Optional.of(List.of(entry(4))), NOW);
    var after = progress(reader, NOW);
    assertEquals(other.accept(after, at(4), NOW), Optional.empty(), "newer epoch");
    assertEquals(other.relyUntil(NOW), Optional.empty());
    var restored = new LogPosition(1, 4);
    assertEquals(other.accept(before, restored, NOW), Optional.of(List.of()), "older epoch");
    assertEquals(other.relyUntil(NOW), Optional.empty());
    assertEquals(other.accept(after, restored, NOW), Optional.of(List.of(entry(4))));
    assertTrue(other.relyUntil(NOW).isPresent());
  }

  /** What peers confirmed of the log before a restore ends with it, also at the same offset. */
  @Test
  public void readInNewEpochForgetsWhatPeersConfirmed() {
    SharedTopic reader = new SharedTopic("t");
    SharedTopic other = new SharedTopic("t");
    reader.recordRead(0, 0, 5, Optional.of(List.of(entry(4))), NOW);
    other.accept(progress(reader, NOW), at(5), NOW);
    other.recordRead(1, 5, 5, Optional.of(List.of()), NOW);
    assertEquals(other.relyUntil(NOW), Optional.empty());
    reader.recordRead(1, 5, 6, Optional.of(List.of()), NOW);
    assertEquals(progress(reader, NOW).records(), List.of(), "records of the epoch before");
  }
}
