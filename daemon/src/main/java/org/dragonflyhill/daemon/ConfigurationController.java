package org.dragonflyhill.daemon;

import java.util.Optional;
import org.dragonflyhill.core.ConfigurationObject;
import org.dragonflyhill.core.ConfigurationState;
import org.dragonflyhill.core.ObjectKey;
import org.dragonflyhill.core.ObjectKind;
import org.dragonflyhill.platform.ConfigurationLog;
import org.dragonflyhill.platform.LogFollower;
import org.dragonflyhill.platform.LogPort;

/**
 * Keeps the configuration of this node in step with the log.
 *
 * <p>Thread-safe; no argument may be null.
 */
public final class ConfigurationController implements AutoCloseable {

  private final LogFollower follower;
  private volatile ConfigurationState state = ConfigurationState.empty();

  /** Creates a controller that does not read yet. */
  public ConfigurationController(LogPort log, NodeMetrics metrics) {
    follower = new LogFollower(log, LogPort.CONFIGURATION_STREAM, 0, this::fold);
    metrics.gauge("configuration.version", () -> state.version());
    metrics.gauge("configuration.offset", () -> state.throughOffset());
  }

  /** Starts to follow the log. */
  public void start() {
    follower.start();
  }

  /** Returns the configuration in force on this node. */
  public ConfigurationState state() {
    return state;
  }

  /** Finds an object of the configuration in force. */
  public <T extends ConfigurationObject> Optional<T> find(
      ObjectKind kind, String name, Class<T> type) {
    return state.object(new ObjectKey(kind, name)).map(type::cast);
  }

  @Override
  public void close() {
    follower.close();
  }

  private synchronized void fold(LogPort.Page page) {
    for (LogPort.LogRecord record : page.records()) {
      state = ConfigurationLog.fold(state, record);
    }
  }
}
