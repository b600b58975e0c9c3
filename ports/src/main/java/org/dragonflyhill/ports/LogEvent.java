package org.dragonflyhill.ports;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;

/**
 * An entry of the JSON log: the name of an event and its fields.
 *
 * <pre>{@code
 * LogEvent.of("request_refused").with("request", id).with("reason", code).info(LOGGER);
 * }</pre>
 *
 * <p>Prompt text and keys must not be logged. Not thread-safe; no argument may be null.
 */
public final class LogEvent {

  private final StringMapMessage message = new StringMapMessage();

  private LogEvent(String name) {
    message.put("event", name);
  }

  /** Creates an event without fields. */
  public static LogEvent of(String name) {
    return new LogEvent(name);
  }

  /** Adds a field. */
  public LogEvent with(String field, Object value) {
    message.put(field, String.valueOf(value));
    return this;
  }

  /** Logs the event at level INFO. */
  public void info(Logger logger) {
    logger.log(Level.INFO, message);
  }

  /** Logs the event at level WARN. */
  public void warn(Logger logger) {
    logger.log(Level.WARN, message);
  }
}
