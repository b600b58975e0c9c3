package org.dragonflyhill.core;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The configuration after all log records up to an offset.
 *
 * <pre>{@code
 * ConfigurationState state = ConfigurationState.empty();
 * ConfigurationState next = ConfigurationFold.apply(state, offset, change);
 * }</pre>
 *
 * <p>Immutable and thread-safe; no component is null. Nodes that apply the same records have equal
 * states.
 *
 * @param throughOffset offset of the last applied record, accepted or not; -1 if there is none
 * @param version offset of the last accepted change; -1 if there is none
 * @param objects the objects by key
 * @param decisions decisions about recent changes, oldest first
 */
public record ConfigurationState(
    long throughOffset,
    long version,
    SortedMap<ObjectKey, VersionedObject> objects,
    List<ChangeDecision> decisions) {

  /** Offset used for an object that does not exist. */
  public static final long ABSENT_OFFSET = -1;

  /** Maximum number of decisions that a state keeps. */
  public static final int MAX_DECISIONS = 1_024;

  /** Rejection message of a change that was withdrawn before it reached the log. */
  public static final String WITHDRAWN = "withdrawn by its author";

  /** Copies the collections to keep the record immutable. */
  public ConfigurationState {
    objects = Collections.unmodifiableSortedMap(new TreeMap<>(objects));
    decisions = List.copyOf(decisions);
  }

  /** Returns the state before the first record. */
  public static ConfigurationState empty() {
    return new ConfigurationState(-1, -1, new TreeMap<>(), List.of());
  }

  /** Returns the object with the given key, if it exists. */
  public Optional<ConfigurationObject> object(ObjectKey key) {
    return Optional.ofNullable(objects.get(key)).map(VersionedObject::object);
  }

  /**
   * Returns the offset of the change that last wrote an object, or {@link #ABSENT_OFFSET} if the
   * object does not exist.
   */
  public long offsetOf(ObjectKey key) {
    return Optional.ofNullable(objects.get(key)).map(VersionedObject::offset).orElse(ABSENT_OFFSET);
  }

  /** Returns the decision about a change, if the state still keeps it. */
  public Optional<ChangeDecision> decision(String changeId) {
    return decisions.stream().filter(d -> d.changeId().equals(changeId)).findFirst();
  }

  /** Returns all objects of a type, ordered by name. */
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
   * An object with its version.
   *
   * @param object the object
   * @param offset log offset of the change that last wrote the object
   */
  public record VersionedObject(ConfigurationObject object, long offset) {}

  /**
   * Whether a change was accepted.
   *
   * @param changeId id of the change
   * @param offset log offset of the first record of the change or of its withdrawal
   * @param author user who made the change
   * @param rejections why the change was rejected; empty if it was accepted
   */
  public record ChangeDecision(
      String changeId, long offset, String author, List<String> rejections) {
    /** Copies the list to keep the record immutable. */
    public ChangeDecision {
      rejections = List.copyOf(rejections);
    }

    /** Returns whether the change was accepted. */
    public boolean isAccepted() {
      return rejections.isEmpty();
    }

    /** Returns whether the change was withdrawn before it reached the log. */
    public boolean isWithdrawn() {
      return rejections.equals(List.of(WITHDRAWN));
    }
  }
}
