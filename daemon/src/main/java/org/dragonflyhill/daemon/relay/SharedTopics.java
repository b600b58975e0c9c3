package org.dragonflyhill.daemon.relay;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.dragonflyhill.core.relay.SharedTopic;
import org.dragonflyhill.core.relay.TopicProgress;

/** The topics of the log service that nodes read for each other. */
public final class SharedTopics {

  private final Map<String, SharedTopic> topics = new HashMap<>();
  private final Map<String, Consumer<TopicProgress>> listeners = new HashMap<>();

  /** Adds a topic. */
  public SharedTopic add(String name) {
    return topics.computeIfAbsent(name, SharedTopic::new);
  }

  /** Passes the progress that peers report of a topic to a listener. */
  public void listen(String name, Consumer<TopicProgress> listener) {
    listeners.put(name, listener);
  }

  List<TopicProgress> progress(Instant now) {
    List<TopicProgress> progress = new ArrayList<>();
    topics.values().forEach(topic -> topic.progress(now).ifPresent(progress::add));
    return progress;
  }

  void onProgress(TopicProgress progress) {
    listeners.getOrDefault(progress.topic(), unknown -> {}).accept(progress);
  }
}
