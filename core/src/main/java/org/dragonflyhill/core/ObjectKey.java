package org.dragonflyhill.core;

import java.util.Comparator;

/**
 * Identifies an object of the configuration, for example {@code RUNNER/rancagua-1}.
 *
 * <p>Immutable and thread-safe; no component is null.
 *
 * @param kind kind of the object
 * @param name name, unique within the kind
 */
public record ObjectKey(ObjectKind kind, String name) implements Comparable<ObjectKey> {

  private static final Comparator<ObjectKey> ORDER =
      Comparator.comparing(ObjectKey::kind).thenComparing(ObjectKey::name);

  @Override
  public int compareTo(ObjectKey other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return kind + "/" + name;
  }
}
