package org.dragonflyhill.core;

import java.util.List;

/**
 * One change of configuration as operators append it to the log.
 *
 * <pre>{@code
 * var change = new ChangeRecord("c-1", "ana", List.of(), List.of(zone), List.of());
 * }</pre>
 *
 * <p>Immutable and thread-safe; no component is null.
 *
 * @param changeId unique id, by which a lost append answer is recognised
 * @param author who made the change
 * @param bases for each touched object the version that the author saw
 * @param upserts objects to create or replace
 * @param deletes objects to remove
 */
public record ChangeRecord(
    String changeId,
    String author,
    List<Base> bases,
    List<ConfigurationObject> upserts,
    List<ObjectKey> deletes) {

  /** Copies the lists so that the record stays immutable. */
  public ChangeRecord {
    bases = List.copyOf(bases);
    upserts = List.copyOf(upserts);
    deletes = List.copyOf(deletes);
  }

  /**
   * The version of an object on which a change is based.
   *
   * @param key the object
   * @param offset log offset of the change that last wrote it, or {@link
   *     ConfigurationState#ABSENT_OFFSET} where the author saw none
   */
  public record Base(ObjectKey key, long offset) {}
}
