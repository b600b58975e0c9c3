package org.dragonflyhill.daemon.relay;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import org.dragonflyhill.core.relay.CrashReport;
import org.dragonflyhill.core.relay.Endpoint;
import org.dragonflyhill.core.relay.PartChange;
import org.dragonflyhill.core.relay.PartFeed;
import org.dragonflyhill.core.relay.PeerReport;
import org.dragonflyhill.core.relay.RateLimitReport;
import org.dragonflyhill.core.relay.StreamOrigin;
import org.dragonflyhill.core.relay.TopicProgress;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes the datagrams that nodes exchange, as MessagePack. */
final class PeerDatagramCodec {

  /** Version of the encoding. Datagrams of other versions are rejected. */
  private static final int SCHEMA_VERSION = 7;

  private static final int KIND_REPORT = 0;
  private static final int KIND_CHANGES = 1;
  private static final int KIND_SNAPSHOT = 2;
  private static final int KIND_RESEND = 3;
  private static final int KIND_STREAMS_BEGUN = 4;
  private static final int KIND_STREAM_QUERY = 5;
  private static final int KIND_STREAM_UNKNOWN = 6;
  private static final int KIND_OUT_OF_REACH = 7;

  /** Number of tokens that stands for a cleared holder. */
  private static final int CLEARED = -1;

  /** Rate limit that stands for none. */
  private static final double UNLIMITED = -1;

  /** Number of tokens that stands for an expected part. */
  private static final int EXPECTED = -2;

  /** Separates the name of a topic from the epoch of the log. */
  private static final char EPOCH_SEPARATOR = '@';

  /** Maximum length of a record's value, which a datagram cannot exceed. */
  private static final int MAX_RECORD_BYTES = 65_536;

  /** Maximum number of ranks in a list; more would be a corrupt datagram. */
  private static final int MAX_RANKS = 64;

  private PeerDatagramCodec() {}

  static byte[] encode(PeerDatagram datagram) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(SCHEMA_VERSION);
      switch (datagram) {
        case PeerDatagram.Report report -> packReport(report.report(), packer);
        case PeerDatagram.Changes changes -> {
          packer.packInt(KIND_CHANGES).packString(changes.node());
          packer.packLong(changes.changes().incarnation()).packLong(changes.changes().first());
          packChanges(changes.changes().changes(), packer);
        }
        case PeerDatagram.Snapshot snapshot -> {
          PartFeed.Snapshot piece = snapshot.snapshot();
          packer.packInt(KIND_SNAPSHOT).packString(snapshot.node());
          packer.packLong(piece.incarnation()).packLong(piece.sequence());
          packer.packInt(piece.index()).packInt(piece.count());
          packChanges(piece.changes(), packer);
        }
        case PeerDatagram.Resend resend ->
            packer.packInt(KIND_RESEND).packString(resend.node()).packLong(resend.from());
        case PeerDatagram.OutOfReach reach -> packOutOfReach(reach, packer);
        case PeerDatagram.StreamsBegun begun -> packStreamsBegun(begun, packer);
        case PeerDatagram.StreamQuery query ->
            packer.packInt(KIND_STREAM_QUERY).packString(query.node()).packString(query.attempt());
        case PeerDatagram.StreamUnknown unknown ->
            packer
                .packInt(KIND_STREAM_UNKNOWN)
                .packString(unknown.node())
                .packString(unknown.attempt());
      }
      return packer.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("cannot write to an in-memory buffer", e);
    }
  }

  static Either<String, PeerDatagram> decode(byte[] bytes) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      int schema = unpacker.unpackInt();
      if (schema != SCHEMA_VERSION) {
        return Either.left("schema " + schema);
      }
      int kind = unpacker.unpackInt();
      return switch (kind) {
        case KIND_REPORT -> Either.right(new PeerDatagram.Report(unpackReport(unpacker)));
        case KIND_CHANGES ->
            Either.right(
                new PeerDatagram.Changes(
                    unpacker.unpackString(),
                    new PartFeed.Changes(
                        unpacker.unpackLong(), unpacker.unpackLong(), unpackChanges(unpacker))));
        case KIND_SNAPSHOT ->
            Either.right(
                new PeerDatagram.Snapshot(
                    unpacker.unpackString(),
                    new PartFeed.Snapshot(
                        unpacker.unpackLong(),
                        unpacker.unpackLong(),
                        unpacker.unpackInt(),
                        unpacker.unpackInt(),
                        unpackChanges(unpacker))));
        case KIND_RESEND ->
            Either.right(new PeerDatagram.Resend(unpacker.unpackString(), unpacker.unpackLong()));
        case KIND_OUT_OF_REACH -> Either.right(unpackOutOfReach(unpacker));
        case KIND_STREAMS_BEGUN -> Either.right(unpackStreamsBegun(unpacker));
        case KIND_STREAM_QUERY ->
            Either.right(
                new PeerDatagram.StreamQuery(unpacker.unpackString(), unpacker.unpackString()));
        case KIND_STREAM_UNKNOWN ->
            Either.right(
                new PeerDatagram.StreamUnknown(unpacker.unpackString(), unpacker.unpackString()));
        default -> Either.left("kind " + kind);
      };
    } catch (IOException | MessagePackException | IndexOutOfBoundsException e) {
      return Either.left(e.toString());
    }
  }

  private static void packOutOfReach(PeerDatagram.OutOfReach reach, MessagePacker packer)
      throws IOException {
    packer.packInt(KIND_OUT_OF_REACH).packString(reach.node());
    packer.packArrayHeader(reach.services().size());
    for (String service : reach.services()) {
      packer.packString(service);
    }
  }

  private static PeerDatagram.OutOfReach unpackOutOfReach(MessageUnpacker unpacker)
      throws IOException {
    final String node = unpacker.unpackString();
    Set<String> services = new HashSet<>();
    for (int i = unpacker.unpackArrayHeader(); i > 0; i--) {
      services.add(unpacker.unpackString());
    }
    return new PeerDatagram.OutOfReach(node, services);
  }

  private static void packStreamsBegun(PeerDatagram.StreamsBegun begun, MessagePacker packer)
      throws IOException {
    packer.packInt(KIND_STREAMS_BEGUN).packString(begun.node());
    packer.packMapHeader(begun.origins().size());
    for (Map.Entry<String, StreamOrigin> stream : begun.origins().entrySet()) {
      StreamOrigin origin = stream.getValue();
      packer.packString(stream.getKey()).packString(origin.service());
      packer.packString(origin.softwareVersion()).packString(origin.organisation());
    }
  }

  private static PeerDatagram.StreamsBegun unpackStreamsBegun(MessageUnpacker unpacker)
      throws IOException {
    final String node = unpacker.unpackString();
    Map<String, StreamOrigin> origins = new HashMap<>();
    for (int i = unpacker.unpackMapHeader(); i > 0; i--) {
      origins.put(
          unpacker.unpackString(),
          new StreamOrigin(
              unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackString()));
    }
    return new PeerDatagram.StreamsBegun(node, origins);
  }

  private static void packReport(PeerReport report, MessagePacker packer) throws IOException {
    packer.packInt(KIND_REPORT).packString(report.node()).packString(report.zone());
    packer.packLong(report.incarnation()).packLong(report.sequence());
    packer.packBoolean(report.isLogReachable()).packBoolean(report.isStopping());
    packer.packMapHeader(report.loads().size());
    for (Map.Entry<String, PeerReport.Load> entry : report.loads().entrySet()) {
      packer.packString(entry.getKey()).packInt(entry.getValue().running());
      packSparse(entry.getValue().prefillTokens(), packer);
      packSparse(entry.getValue().memoryTokens(), packer);
    }
    packer.packArrayHeader(report.changingRunners().size());
    for (String runner : report.changingRunners()) {
      packer.packString(runner);
    }
    packNumbers(report.drainingRunners(), packer);
    packNumbers(report.weightVersions(), packer);
    packer.packMapHeader(report.announcedWeights().size());
    for (Map.Entry<String, Map<Long, Duration>> model : report.announcedWeights().entrySet()) {
      packer.packString(model.getKey()).packMapHeader(model.getValue().size());
      for (Map.Entry<Long, Duration> version : model.getValue().entrySet()) {
        packer.packLong(version.getKey()).packLong(version.getValue().toMillis());
      }
    }
    packer.packMapHeader(report.holderReports().size());
    for (Map.Entry<Endpoint, Duration> holder : report.holderReports().entrySet()) {
      packEndpoint(holder.getKey(), packer);
      packer.packLong(holder.getValue().toMillis());
    }
    packer.packLong(report.nextPartChange());
    packer.packArrayHeader(report.topics().size());
    for (TopicProgress progress : report.topics()) {
      packTopic(progress, packer);
    }
    packer.packBoolean(report.runnerClockMillis().isPresent());
    packer.packLong(report.runnerClockMillis().orElse(0));
    packCrashReport(report.crashReport(), packer);
    packer.packMapHeader(report.requestRates().size());
    for (Map.Entry<String, Double> service : report.requestRates().entrySet()) {
      packer.packString(service.getKey()).packDouble(service.getValue());
    }
    packer.packMapHeader(report.rateLimits().size());
    for (Map.Entry<String, RateLimitReport> runner : report.rateLimits().entrySet()) {
      RateLimitReport limit = runner.getValue();
      packer.packString(runner.getKey()).packLong(limit.startedAtMillis());
      packer.packDouble(limit.perSecond().orElse(UNLIMITED)).packLong(limit.age().toMillis());
    }
  }

  private static Map<String, Double> unpackRequestRates(MessageUnpacker unpacker)
      throws IOException {
    Map<String, Double> rates = new HashMap<>();
    for (int i = unpacker.unpackMapHeader(); i > 0; i--) {
      rates.put(unpacker.unpackString(), unpacker.unpackDouble());
    }
    return rates;
  }

  private static Map<String, RateLimitReport> unpackRateLimits(MessageUnpacker unpacker)
      throws IOException {
    Map<String, RateLimitReport> limits = new HashMap<>();
    for (int i = unpacker.unpackMapHeader(); i > 0; i--) {
      String runner = unpacker.unpackString();
      long startedAtMillis = unpacker.unpackLong();
      double perSecond = unpacker.unpackDouble();
      Duration age = Duration.ofMillis(unpacker.unpackLong());
      limits.put(
          runner,
          new RateLimitReport(
              startedAtMillis,
              perSecond == UNLIMITED ? OptionalDouble.empty() : OptionalDouble.of(perSecond),
              age));
    }
    return limits;
  }

  private static void packCrashReport(CrashReport report, MessagePacker packer) throws IOException {
    packAgesBySuspect(report.crashes(), packer);
    packAgesBySuspect(report.sentRequests(), packer);
    packAges(report.soundAnswers(), packer);
  }

  private static void packAgesBySuspect(
      Map<String, Map<String, Duration>> ages, MessagePacker packer) throws IOException {
    packer.packMapHeader(ages.size());
    for (Map.Entry<String, Map<String, Duration>> suspect : ages.entrySet()) {
      packer.packString(suspect.getKey());
      packAges(suspect.getValue(), packer);
    }
  }

  private static CrashReport unpackCrashReport(MessageUnpacker unpacker) throws IOException {
    return new CrashReport(
        unpackAgesBySuspect(unpacker), unpackAgesBySuspect(unpacker), unpackAges(unpacker));
  }

  private static Map<String, Map<String, Duration>> unpackAgesBySuspect(MessageUnpacker unpacker)
      throws IOException {
    Map<String, Map<String, Duration>> ages = new HashMap<>();
    for (int i = unpacker.unpackMapHeader(); i > 0; i--) {
      ages.put(unpacker.unpackString(), unpackAges(unpacker));
    }
    return ages;
  }

  private static void packAges(Map<String, Duration> ages, MessagePacker packer)
      throws IOException {
    packer.packMapHeader(ages.size());
    for (Map.Entry<String, Duration> entry : ages.entrySet()) {
      packer.packString(entry.getKey()).packLong(entry.getValue().toMillis());
    }
  }

  private static Map<String, Duration> unpackAges(MessageUnpacker unpacker) throws IOException {
    Map<String, Duration> ages = new HashMap<>();
    for (int i = unpacker.unpackMapHeader(); i > 0; i--) {
      ages.put(unpacker.unpackString(), Duration.ofMillis(unpacker.unpackLong()));
    }
    return ages;
  }

  private static PeerReport unpackReport(MessageUnpacker unpacker) throws IOException {
    final String node = unpacker.unpackString();
    final String zone = unpacker.unpackString();
    final long incarnation = unpacker.unpackLong();
    final long sequence = unpacker.unpackLong();
    final boolean isLogReachable = unpacker.unpackBoolean();
    final boolean isStopping = unpacker.unpackBoolean();
    Map<String, PeerReport.Load> loads = new HashMap<>();
    for (int i = unpacker.unpackMapHeader(); i > 0; i--) {
      loads.put(
          unpacker.unpackString(),
          new PeerReport.Load(
              unpacker.unpackInt(), unpackSparse(unpacker), unpackSparse(unpacker)));
    }
    Set<String> changing = new HashSet<>();
    for (int i = unpacker.unpackArrayHeader(); i > 0; i--) {
      changing.add(unpacker.unpackString());
    }
    final Map<String, Long> draining = unpackNumbers(unpacker);
    final Map<String, Long> weights = unpackNumbers(unpacker);
    Map<String, Map<Long, Duration>> announced = new HashMap<>();
    for (int i = unpacker.unpackMapHeader(); i > 0; i--) {
      Map<Long, Duration> versions = new HashMap<>();
      announced.put(unpacker.unpackString(), versions);
      for (int j = unpacker.unpackMapHeader(); j > 0; j--) {
        versions.put(unpacker.unpackLong(), Duration.ofMillis(unpacker.unpackLong()));
      }
    }
    Map<Endpoint, Duration> holders = new HashMap<>();
    for (int i = unpacker.unpackMapHeader(); i > 0; i--) {
      holders.put(unpackEndpoint(unpacker), Duration.ofMillis(unpacker.unpackLong()));
    }
    final long nextPartChange = unpacker.unpackLong();
    List<TopicProgress> topics = new ArrayList<>();
    for (int i = unpacker.unpackArrayHeader(); i > 0; i--) {
      topics.add(unpackTopic(unpacker));
    }
    final boolean hasClock = unpacker.unpackBoolean();
    final long clock = unpacker.unpackLong();
    final CrashReport crashReport = unpackCrashReport(unpacker);
    final Map<String, Double> requestRates = unpackRequestRates(unpacker);
    final Map<String, RateLimitReport> rateLimits = unpackRateLimits(unpacker);
    return new PeerReport(
        node,
        zone,
        incarnation,
        sequence,
        isLogReachable,
        isStopping,
        loads,
        changing,
        draining,
        weights,
        announced,
        holders,
        nextPartChange,
        topics,
        hasClock ? OptionalLong.of(clock) : OptionalLong.empty(),
        crashReport,
        requestRates,
        rateLimits);
  }

  private static void packTopic(TopicProgress progress, MessagePacker packer) throws IOException {
    packer.packString(topicName(progress)).packLong(progress.from()).packLong(progress.through());
    packer.packLong(progress.age().toMillis()).packArrayHeader(progress.records().size());
    for (TopicProgress.Entry entry : progress.records()) {
      packer.packLong(entry.offset()).packString(entry.key());
      packer.packBinaryHeader(entry.value().length).writePayload(entry.value());
    }
  }

  /**
   * Returns the name under which the progress of a topic is encoded. It names the epoch, except for
   * the first one, so that releases that know no epochs do not rely on progress of a later epoch.
   */
  private static String topicName(TopicProgress progress) {
    return progress.epoch() == 0
        ? progress.topic()
        : progress.topic() + EPOCH_SEPARATOR + progress.epoch();
  }

  private static long parseEpoch(String name, int separator) throws IOException {
    try {
      return separator < 0 ? 0 : Long.parseLong(name.substring(separator + 1));
    } catch (NumberFormatException e) {
      throw new IOException("epoch of topic " + name, e);
    }
  }

  private static TopicProgress unpackTopic(MessageUnpacker unpacker) throws IOException {
    final String name = unpacker.unpackString();
    final int separator = name.lastIndexOf(EPOCH_SEPARATOR);
    final String topic = separator < 0 ? name : name.substring(0, separator);
    final long epoch = parseEpoch(name, separator);
    final long from = unpacker.unpackLong();
    final long through = unpacker.unpackLong();
    final Duration age = Duration.ofMillis(unpacker.unpackLong());
    List<TopicProgress.Entry> records = new ArrayList<>();
    for (int i = unpacker.unpackArrayHeader(); i > 0; i--) {
      long offset = unpacker.unpackLong();
      String key = unpacker.unpackString();
      int length = unpacker.unpackBinaryHeader();
      if (length > MAX_RECORD_BYTES) {
        throw new IOException("record of " + length + " bytes");
      }
      records.add(new TopicProgress.Entry(offset, key, unpacker.readPayload(length)));
    }
    return new TopicProgress(topic, epoch, from, through, age, records);
  }

  /** Packs changes with a table of holders and one of salts, since both recur in most changes. */
  private static void packChanges(List<PartChange> changes, MessagePacker packer)
      throws IOException {
    Map<Endpoint, Integer> holders = new LinkedHashMap<>();
    Map<String, Integer> salts = new LinkedHashMap<>();
    for (PartChange change : changes) {
      holders.putIfAbsent(change.holder(), holders.size());
      switch (change) {
        case PartChange.Cleared cleared -> {
          // It names no part.
        }
        case PartChange.Stored stored -> salts.putIfAbsent(stored.salt(), salts.size());
        case PartChange.Expected expected -> salts.putIfAbsent(expected.salt(), salts.size());
      }
    }
    packer.packArrayHeader(holders.size());
    for (Endpoint holder : holders.keySet()) {
      packEndpoint(holder, packer);
    }
    packer.packArrayHeader(salts.size());
    for (String salt : salts.keySet()) {
      packer.packString(salt);
    }
    packer.packArrayHeader(changes.size());
    for (PartChange change : changes) {
      packer.packInt(holders.get(change.holder()));
      switch (change) {
        case PartChange.Cleared cleared -> packer.packInt(CLEARED);
        case PartChange.Stored stored ->
            packer
                .packInt(stored.tokens())
                .packInt(salts.get(stored.salt()))
                .packString(stored.part());
        case PartChange.Expected expected ->
            packer
                .packInt(EXPECTED)
                .packInt(salts.get(expected.salt()))
                .packString(expected.part());
      }
    }
  }

  private static List<PartChange> unpackChanges(MessageUnpacker unpacker) throws IOException {
    List<Endpoint> holders = new ArrayList<>();
    for (int i = unpacker.unpackArrayHeader(); i > 0; i--) {
      holders.add(unpackEndpoint(unpacker));
    }
    List<String> salts = new ArrayList<>();
    for (int i = unpacker.unpackArrayHeader(); i > 0; i--) {
      salts.add(unpacker.unpackString());
    }
    List<PartChange> changes = new ArrayList<>();
    for (int i = unpacker.unpackArrayHeader(); i > 0; i--) {
      Endpoint holder = holders.get(unpacker.unpackInt());
      int tokens = unpacker.unpackInt();
      if (tokens == CLEARED) {
        changes.add(new PartChange.Cleared(holder));
        continue;
      }
      String salt = salts.get(unpacker.unpackInt());
      String part = unpacker.unpackString();
      changes.add(
          tokens == EXPECTED
              ? new PartChange.Expected(holder, salt, part)
              : new PartChange.Stored(holder, salt, part, tokens));
    }
    return changes;
  }

  private static void packNumbers(Map<String, Long> numbers, MessagePacker packer)
      throws IOException {
    packer.packMapHeader(numbers.size());
    for (Map.Entry<String, Long> entry : numbers.entrySet()) {
      packer.packString(entry.getKey()).packLong(entry.getValue());
    }
  }

  private static Map<String, Long> unpackNumbers(MessageUnpacker unpacker) throws IOException {
    Map<String, Long> numbers = new HashMap<>();
    for (int i = unpacker.unpackMapHeader(); i > 0; i--) {
      numbers.put(unpacker.unpackString(), unpacker.unpackLong());
    }
    return numbers;
  }

  private static void packEndpoint(Endpoint endpoint, MessagePacker packer) throws IOException {
    packer.packString(endpoint.host()).packInt(endpoint.port());
  }

  private static Endpoint unpackEndpoint(MessageUnpacker unpacker) throws IOException {
    return new Endpoint(unpacker.unpackString(), unpacker.unpackInt());
  }

  /** Packs the numbers that are not 0, with their positions. Most ranks have none. */
  private static void packSparse(List<Long> numbers, MessagePacker packer) throws IOException {
    packer.packInt(numbers.size());
    packer.packMapHeader((int) numbers.stream().filter(number -> number != 0).count());
    for (int i = 0; i < numbers.size(); i++) {
      if (numbers.get(i) != 0) {
        packer.packInt(i).packLong(numbers.get(i));
      }
    }
  }

  private static List<Long> unpackSparse(MessageUnpacker unpacker) throws IOException {
    int size = unpacker.unpackInt();
    if (size < 0 || size > MAX_RANKS) {
      throw new IOException("list of " + size + " ranks");
    }
    Long[] numbers = new Long[size];
    Arrays.fill(numbers, 0L);
    for (int i = unpacker.unpackMapHeader(); i > 0; i--) {
      numbers[unpacker.unpackInt()] = unpacker.unpackLong();
    }
    return List.of(numbers);
  }
}
