package org.dragonflyhill.ports;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;

/**
 * One line of the JSON log: an event name and its fields.
 *
 * <pre>{@code
 * LogEvent.of("request_refused").with("request", id).with("reason", code).info(LOGGER);
 * }</pre>
 *
 * <p>Never give it prompt text or keys. Not thread-safe; no argument may be null.
 */
public final class LogEvent {

  private final StringMapMessage message = new StringMapMessage();

  private LogEvent(String name) {
    message.put("event", name);
  }

  /** Starts an event. */
  public static LogEvent of(String name) {
    return new LogEvent(name);
  }

  /** Adds a field. */
  public LogEvent with(String field, Object value) {
    message.put(field, String.valueOf(value));
    return this;
  }

  /** Writes the event as information. */
  public void info(Logger logger) {
    logger.log(Level.INFO, message);
  }

  /** Writes the event as a warning. */
  public void warn(Logger logger) {
    logger.log(Level.WARN, message);
  }
}
