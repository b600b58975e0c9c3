package org.dragonflyhill.daemon.relay;

import java.util.Map;
import java.util.function.Consumer;
import org.dragonflyhill.core.relay.StreamOrigin;

/**
 * Log in which all nodes write where streams began, for nodes that start when no other one is left
 * that could tell them.
 *
 * <p>No argument is null. Callbacks run on the event loop.
 */
public interface StreamOriginLog {

  /** Appends origins by attempt, and passes on whether they are certainly in the log. */
  void append(Map<String, StreamOrigin> origins, Consumer<Boolean> done);

  /**
   * Reads what was appended since the last read, the first time all that the log still has.
   *
   * @param done called once with the origins by attempt, empty if the log cannot be read
   */
  void readNew(Consumer<Map<String, StreamOrigin>> done);

  /** Adds a listener that is called when the log may have lost its latest records. */
  void onRestore(Runnable listener);
}
