package org.dragonflyhill.ports;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Gathers resources and closes them, last first.
 *
 * <pre>{@code
 * try (Closer closer = new Closer()) {
 *   HttpCaller caller = closer.add(new HttpCaller("log", 10, timeout));
 * }
 * }</pre>
 *
 * <p>Thread-safe; no argument may be null.
 */
public final class Closer implements AutoCloseable {

  private final Deque<AutoCloseable> resources = new ArrayDeque<>();

  /** Adds a resource and returns it. */
  public synchronized <T extends AutoCloseable> T add(T resource) {
    resources.push(resource);
    return resource;
  }

  /**
   * Closes everything, also when some resources fail.
   *
   * @throws IllegalStateException if a resource failed, with the others as suppressed
   */
  @Override
  public synchronized void close() {
    IllegalStateException failure = null;
    while (!resources.isEmpty()) {
      AutoCloseable resource = resources.pop();
      try {
        resource.close();
      } catch (Exception e) {
        if (failure == null) {
          failure = new IllegalStateException("closing " + resource, e);
        } else {
          failure.addSuppressed(e);
        }
      }
    }
    if (failure != null) {
      throw failure;
    }
  }
}
