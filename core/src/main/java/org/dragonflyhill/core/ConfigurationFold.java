package org.dragonflyhill.core;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Computes the configuration by applying the records of the log one after another (a left fold).
 *
 * <p>Log order decides between concurrent changes: a change is rejected if one of its objects was
 * written after the version that the change is based on. The result depends only on the state and
 * the record, so every node accepts and rejects the same changes.
 *
 * <pre>{@code
 * ConfigurationState next = ConfigurationFold.apply(state, 42, change);
 * boolean accepted = next.decision(change.changeId()).orElseThrow().isAccepted();
 * }</pre>
 *
 * <p>Stateless and thread-safe; no argument may be null.
 */
public final class ConfigurationFold {

  private ConfigurationFold() {}

  /**
   * Returns the state after a change record. Objects stay as they are if the change is rejected, if
   * its id was decided before, or if the offset is not after {@code state.throughOffset()}.
   *
   * @param state state before the record
   * @param offset log offset of the record
   * @param change the change record
   */
  public static ConfigurationState apply(
      ConfigurationState state, long offset, ChangeRecord change) {
    if (offset <= state.throughOffset()) {
      return state;
    }
    if (state.decision(change.changeId()).isPresent()) {
      return skip(state, offset);
    }
    SortedMap<ObjectKey, ConfigurationState.VersionedObject> objects =
        applyChanges(state, offset, change);
    List<String> rejections = staleBases(state, change);
    if (rejections.isEmpty()) {
      rejections = ConfigurationValidator.validate(objects);
    }
    var decision =
        new ConfigurationState.ChangeDecision(
            change.changeId(), offset, change.author(), rejections);
    boolean accepted = decision.isAccepted();
    return new ConfigurationState(
        offset,
        accepted ? offset : state.version(),
        accepted ? objects : state.objects(),
        appendDecision(state.decisions(), decision));
  }

  /**
   * Returns the state after a withdrawal record. Of a change and its withdrawal, the first in log
   * order decides: a change that was withdrawn before is ignored, and so is the withdrawal of a
   * change that was accepted or rejected before.
   *
   * @param state state before the record
   * @param offset log offset of the record
   * @param changeId id of the withdrawn change
   * @param author user who withdrew the change
   */
  public static ConfigurationState withdraw(
      ConfigurationState state, long offset, String changeId, String author) {
    if (offset <= state.throughOffset()) {
      return state;
    }
    if (state.decision(changeId).isPresent()) {
      return skip(state, offset);
    }
    var decision =
        new ConfigurationState.ChangeDecision(
            changeId, offset, author, List.of(ConfigurationState.WITHDRAWN));
    return new ConfigurationState(
        offset, state.version(), state.objects(), appendDecision(state.decisions(), decision));
  }

  /** Returns the state after a record that changes no object, such as a snapshot. */
  public static ConfigurationState skip(ConfigurationState state, long offset) {
    if (offset <= state.throughOffset()) {
      return state;
    }
    return new ConfigurationState(offset, state.version(), state.objects(), state.decisions());
  }

  private static SortedMap<ObjectKey, ConfigurationState.VersionedObject> applyChanges(
      ConfigurationState state, long offset, ChangeRecord change) {
    SortedMap<ObjectKey, ConfigurationState.VersionedObject> objects =
        new TreeMap<>(state.objects());
    change.deletes().forEach(objects::remove);
    for (ConfigurationObject object : change.upserts()) {
      objects.put(object.key(), new ConfigurationState.VersionedObject(object, offset));
    }
    return objects;
  }

  private static List<String> staleBases(ConfigurationState state, ChangeRecord change) {
    List<String> stale = new ArrayList<>();
    for (ObjectKey key : affectedKeys(change)) {
      long current = state.offsetOf(key);
      long base = baseOf(change, key);
      if (base != current) {
        stale.add(key + " is at offset " + current + ", the change is based on " + base);
      }
    }
    return stale;
  }

  private static List<ObjectKey> affectedKeys(ChangeRecord change) {
    List<ObjectKey> keys = new ArrayList<>(change.deletes());
    change.upserts().forEach(object -> keys.add(object.key()));
    return keys;
  }

  private static long baseOf(ChangeRecord change, ObjectKey key) {
    return change.bases().stream()
        .filter(base -> base.key().equals(key))
        .mapToLong(ChangeRecord.Base::offset)
        .findFirst()
        .orElse(ConfigurationState.ABSENT_OFFSET);
  }

  private static List<ConfigurationState.ChangeDecision> appendDecision(
      List<ConfigurationState.ChangeDecision> decisions,
      ConfigurationState.ChangeDecision decision) {
    List<ConfigurationState.ChangeDecision> all = new ArrayList<>(decisions);
    all.add(decision);
    int excess = Math.max(0, all.size() - ConfigurationState.MAX_DECISIONS);
    return all.subList(excess, all.size());
  }
}
