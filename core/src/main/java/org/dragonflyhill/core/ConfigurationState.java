package org.dragonflyhill.core;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The configuration after all change records up to an offset of the log.
 *
 * <pre>{@code
 * ConfigurationState state = ConfigurationState.empty();
 * FoldResult result = ConfigurationFold.apply(state, offset, change);
 * }</pre>
 *
 * <p>Immutable and thread-safe; no component is null. Equal record sequences lead to equal states
 * on every node.
 *
 * @param throughOffset offset of the last folded record, accepted or not; -1 where there is none
 * @param version offset of the last accepted record; -1 where there is none
 * @param objects the objects by key
 * @param decisions what became of recent changes, oldest first
 */
public record ConfigurationState(
    long throughOffset,
    long version,
    SortedMap<ObjectKey, VersionedObject> objects,
    List<ChangeDecision> decisions) {

  /** Base offset of an object that does not exist. */
  public static final long ABSENT_OFFSET = -1;

  /** Number of recent change decisions that a state remembers. */
  public static final int MAX_DECISIONS = 1_024;

  /** Reason against a change that its author gave up before the log held it. */
  public static final String WITHDRAWN = "withdrawn by its author";

  /** Copies the collections so that the record stays immutable. */
  public ConfigurationState {
    objects = Collections.unmodifiableSortedMap(new TreeMap<>(objects));
    decisions = List.copyOf(decisions);
  }

  /** Returns the state before the first record. */
  public static ConfigurationState empty() {
    return new ConfigurationState(-1, -1, new TreeMap<>(), List.of());
  }

  /** Finds an object by key. */
  public Optional<ConfigurationObject> object(ObjectKey key) {
    return Optional.ofNullable(objects.get(key)).map(VersionedObject::object);
  }

  /** Returns the offset that last wrote an object, or {@link #ABSENT_OFFSET}. */
  public long offsetOf(ObjectKey key) {
    return Optional.ofNullable(objects.get(key)).map(VersionedObject::offset).orElse(ABSENT_OFFSET);
  }

  /** Returns what became of a change, where it is remembered. */
  public Optional<ChangeDecision> decision(String changeId) {
    return decisions.stream().filter(d -> d.changeId().equals(changeId)).findFirst();
  }

  /** Returns all objects of one type, in order of their names. */
  public <T extends ConfigurationObject> List<T> all(Class<T> type) {
    List<T> found = new ArrayList<>();
    for (VersionedObject versioned : objects.values()) {
      if (type.isInstance(versioned.object())) {
        found.add(type.cast(versioned.object()));
      }
    }
    return found;
  }

  /**
   * An object and the change that last wrote it.
   *
   * @param object the object
   * @param offset log offset of that change
   */
  public record VersionedObject(ConfigurationObject object, long offset) {}

  /**
   * What the fold decided about a change.
   *
   * @param changeId id of the change
   * @param offset log offset of its first record
   * @param author who made the change
   * @param rejections reasons against it; empty where it was accepted
   */
  public record ChangeDecision(
      String changeId, long offset, String author, List<String> rejections) {
    /** Copies the list so that the record stays immutable. */
    public ChangeDecision {
      rejections = List.copyOf(rejections);
    }

    /** Returns whether the change is part of the configuration. */
    public boolean isAccepted() {
      return rejections.isEmpty();
    }

    /** Returns whether the author gave the change up before the log held it. */
    public boolean isWithdrawn() {
      return rejections.equals(List.of(WITHDRAWN));
    }
  }
}
