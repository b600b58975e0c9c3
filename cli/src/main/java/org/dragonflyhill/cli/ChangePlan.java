package org.dragonflyhill.cli;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.dragonflyhill.core.ChangeRecord;
import org.dragonflyhill.core.ConfigurationObject;
import org.dragonflyhill.core.ConfigurationState;
import org.dragonflyhill.core.ObjectKey;

/**
 * Computes the change that turns a configuration into a desired one.
 *
 * <p>Stateless and thread-safe; no argument may be null.
 */
final class ChangePlan {

  private ChangePlan() {}

  /**
   * Returns the change, or empty if there is no difference.
   *
   * @param current the current configuration
   * @param desired objects that the configuration should contain
   * @param isPruning whether to delete objects that are not among the desired ones
   * @param changeId id of the change
   * @param author name of the person who makes the change
   */
  static Optional<ChangeRecord> plan(
      ConfigurationState current,
      List<ConfigurationObject> desired,
      boolean isPruning,
      String changeId,
      String author) {
    List<ConfigurationObject> upserts = new ArrayList<>();
    Set<ObjectKey> desiredKeys = new HashSet<>();
    for (ConfigurationObject object : desired) {
      desiredKeys.add(object.key());
      if (!current.object(object.key()).equals(Optional.of(object))) {
        upserts.add(object);
      }
    }
    List<ObjectKey> deletes = new ArrayList<>();
    if (isPruning) {
      current.objects().keySet().stream()
          .filter(key -> !desiredKeys.contains(key))
          .forEach(deletes::add);
    }
    if (upserts.isEmpty() && deletes.isEmpty()) {
      return Optional.empty();
    }
    List<ChangeRecord.Base> bases = new ArrayList<>();
    upserts.forEach(object -> bases.add(base(current, object.key())));
    deletes.forEach(key -> bases.add(base(current, key)));
    return Optional.of(new ChangeRecord(changeId, author, bases, upserts, deletes));
  }

  private static ChangeRecord.Base base(ConfigurationState current, ObjectKey key) {
    return new ChangeRecord.Base(key, current.offsetOf(key));
  }
}
