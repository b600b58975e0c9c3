package org.dragonflyhill.core;

import java.util.List;

/**
 * A configuration change that an operator appends to the log.
 *
 * <pre>{@code
 * var change = new ChangeRecord("c-1", "ana", List.of(), List.of(zone), List.of());
 * }</pre>
 *
 * <p>Immutable and thread-safe; no component is null.
 *
 * @param changeId unique id; identifies the change in the log when the response to its append is
 *     lost
 * @param author user who made the change
 * @param bases version of each affected object that the author had read
 * @param upserts objects to create or replace
 * @param deletes keys of the objects to remove
 */
public record ChangeRecord(
    String changeId,
    String author,
    List<Base> bases,
    List<ConfigurationObject> upserts,
    List<ObjectKey> deletes) {

  /** Copies the lists to keep the record immutable. */
  public ChangeRecord {
    bases = List.copyOf(bases);
    upserts = List.copyOf(upserts);
    deletes = List.copyOf(deletes);
  }

  /**
   * The version of an object that a change is based on.
   *
   * @param key key of the object
   * @param offset log offset of the change that last wrote the object, or {@link
   *     ConfigurationState#ABSENT_OFFSET} if the object did not exist for the author
   */
  public record Base(ObjectKey key, long offset) {}
}
