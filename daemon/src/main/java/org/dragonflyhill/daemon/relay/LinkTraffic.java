package org.dragonflyhill.daemon.relay;

import com.codahale.metrics.Counter;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.time.Duration;
import java.time.Instant;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalDouble;
import org.dragonflyhill.daemon.NodeMetrics;
import org.dragonflyhill.ports.LogEvent;

/**
 * Bytes that this node receives and sends, by purpose. On a full network link everything waits
 * behind other bytes, also the ends of callers' connections, while the event loop is in time.
 *
 * <p>Headers of the network's own protocols are not counted. The counters are {@code
 * traffic.PURPOSE.received_bytes} and {@code traffic.PURPOSE.sent_bytes}. Not thread-safe.
 */
public final class LinkTraffic {

  /** What bytes are for. */
  public enum Purpose {
    /** Requests of callers and their responses. */
    CALLERS,
    /** Requests that are passed on to runners, and their responses. */
    RUNNERS,
    /** Requests that nodes pass on to each other. */
    FORWARDED,
    /** Calls to the log service. */
    LOG,
    /** Calls to the control interfaces of runners and stores: cache events, lists, orders. */
    CONTROL,
    /** Reports of load between nodes. */
    PEER_REPORTS,
    /** Changes of cached parts between nodes. */
    PEER_CHANGES,
    /** Changes and snapshots of cached parts for nodes that have missed some. */
    PEER_RESENDS,
    /** All other datagrams between nodes. */
    PEER_OTHER
  }

  /** Share of the link in either direction from which the traffic of an interval is logged. */
  private static final double LOGGED_SHARE = 0.4;

  private final DecisionLog log;
  private final Map<Purpose, PurposeCounter> counters = new EnumMap<>(Purpose.class);
  private OptionalDouble bytesPerSecond = OptionalDouble.empty();
  private Instant recordedAt;

  /** Creates counters at 0. */
  LinkTraffic(NodeMetrics metrics, DecisionLog log, Instant now) {
    this.log = log;
    recordedAt = now;
    for (Purpose purpose : Purpose.values()) {
      counters.put(purpose, new PurposeCounter(purpose, metrics));
    }
  }

  /** Sets the bandwidth of the node's link in each direction, in bytes per second. */
  public void useBandwidth(double newBytesPerSecond) {
    bytesPerSecond = OptionalDouble.of(newBytesPerSecond);
  }

  /** Returns the bandwidth of the node's link in each direction, in bytes per second, if known. */
  OptionalDouble bandwidth() {
    return bytesPerSecond;
  }

  /** Returns the counter for a purpose, which also serves as the first handler of a channel. */
  public PurposeCounter counter(Purpose purpose) {
    return counters.get(purpose);
  }

  /** Logs the traffic since the last call if it took a large share of the link. */
  void record(Instant now) {
    Duration interval = Duration.between(recordedAt, now);
    recordedAt = now;
    long received = counters.values().stream().mapToLong(PurposeCounter::newReceived).sum();
    long sent = counters.values().stream().mapToLong(PurposeCounter::newSent).sum();
    double capacity = bytesPerSecond.orElse(Double.MAX_VALUE) * interval.toMillis() / 1_000;
    if (Math.max(received, sent) >= LOGGED_SHARE * capacity) {
      log.info(
          "link_busy",
          event ->
              withPurposes(
                  event
                      .with("interval_ms", interval.toMillis())
                      .with("received_percent", Math.round(100 * received / capacity))
                      .with("sent_percent", Math.round(100 * sent / capacity))));
    }
    counters.values().forEach(PurposeCounter::startInterval);
  }

  private LogEvent withPurposes(LogEvent event) {
    counters.values().forEach(counter -> counter.describe(event));
    return event;
  }

  /** Counts the bytes for one purpose. */
  @Sharable
  public static final class PurposeCounter extends ChannelDuplexHandler {
    private final String name;
    private final Counter received;
    private final Counter sent;
    private long receivedBefore;
    private long sentBefore;

    private PurposeCounter(Purpose purpose, NodeMetrics metrics) {
      name = purpose.name().toLowerCase(Locale.ROOT);
      received = metrics.counter("traffic." + name + ".received_bytes");
      sent = metrics.counter("traffic." + name + ".sent_bytes");
    }

    /** Adds received bytes. */
    void addReceived(long bytes) {
      received.inc(bytes);
    }

    /** Adds sent bytes. */
    void addSent(long bytes) {
      sent.inc(bytes);
    }

    private long newReceived() {
      return received.getCount() - receivedBefore;
    }

    private long newSent() {
      return sent.getCount() - sentBefore;
    }

    private void startInterval() {
      receivedBefore = received.getCount();
      sentBefore = sent.getCount();
    }

    private void describe(LogEvent event) {
      if (newReceived() > 0) {
        event.with(name + "_received", newReceived());
      }
      if (newSent() > 0) {
        event.with(name + "_sent", newSent());
      }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (message instanceof ByteBuf bytes) {
        addReceived(bytes.readableBytes());
      }
      context.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
      if (message instanceof ByteBuf bytes) {
        addSent(bytes.readableBytes());
      }
      context.write(message, promise);
    }
  }
}
