package org.dragonflyhill.ports;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Collects resources and closes them in reverse order.
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
   * Closes all resources, even if closing some of them fails.
   *
   * @throws IllegalStateException if closing a resource failed; the exceptions of further resources
   *     are suppressed exceptions
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
          failure = new IllegalStateException("failed to close " + resource, e);
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
