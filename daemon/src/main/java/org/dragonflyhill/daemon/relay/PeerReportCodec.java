package org.dragonflyhill.daemon.relay;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dragonflyhill.core.relay.PeerReport;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes the load reports that nodes exchange, as MessagePack. */
final class PeerReportCodec {

  /** Version of the encoding. Reports of other versions are rejected. */
  private static final int SCHEMA_VERSION = 2;

  private PeerReportCodec() {}

  static byte[] encode(PeerReport report) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(SCHEMA_VERSION).packString(report.node());
      packer.packLong(report.incarnation()).packLong(report.sequence());
      packer.packBoolean(report.isLogReachable()).packBoolean(report.isStopping());
      packer.packMapHeader(report.loads().size());
      for (Map.Entry<String, PeerReport.Load> entry : report.loads().entrySet()) {
        packer.packString(entry.getKey()).packInt(entry.getValue().running());
        packLongs(entry.getValue().prefillTokens(), packer);
        packLongs(entry.getValue().memoryTokens(), packer);
      }
      packer.packArrayHeader(report.changingRunners().size());
      for (String runner : report.changingRunners()) {
        packer.packString(runner);
      }
      packer.packMapHeader(report.weightVersions().size());
      for (Map.Entry<String, Long> entry : report.weightVersions().entrySet()) {
        packer.packString(entry.getKey()).packLong(entry.getValue());
      }
      return packer.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("cannot write to an in-memory buffer", e);
    }
  }

  static Either<String, PeerReport> decode(byte[] bytes) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      int schema = unpacker.unpackInt();
      if (schema != SCHEMA_VERSION) {
        return Either.left("schema " + schema);
      }
      final String node = unpacker.unpackString();
      final long incarnation = unpacker.unpackLong();
      final long sequence = unpacker.unpackLong();
      final boolean isLogInReach = unpacker.unpackBoolean();
      final boolean isStopping = unpacker.unpackBoolean();
      Map<String, PeerReport.Load> loads = new HashMap<>();
      for (int i = unpacker.unpackMapHeader(); i > 0; i--) {
        loads.put(unpacker.unpackString(), unpackLoad(unpacker));
      }
      Set<String> changing = new HashSet<>();
      for (int i = unpacker.unpackArrayHeader(); i > 0; i--) {
        changing.add(unpacker.unpackString());
      }
      Map<String, Long> weights = new HashMap<>();
      for (int i = unpacker.unpackMapHeader(); i > 0; i--) {
        weights.put(unpacker.unpackString(), unpacker.unpackLong());
      }
      return Either.right(
          new PeerReport(
              node, incarnation, sequence, isLogInReach, isStopping, loads, changing, weights));
    } catch (IOException | MessagePackException e) {
      return Either.left(e.toString());
    }
  }

  private static PeerReport.Load unpackLoad(MessageUnpacker unpacker) throws IOException {
    return new PeerReport.Load(unpacker.unpackInt(), unpackLongs(unpacker), unpackLongs(unpacker));
  }

  private static void packLongs(List<Long> numbers, MessagePacker packer) throws IOException {
    packer.packArrayHeader(numbers.size());
    for (long number : numbers) {
      packer.packLong(number);
    }
  }

  private static List<Long> unpackLongs(MessageUnpacker unpacker) throws IOException {
    List<Long> numbers = new ArrayList<>();
    for (int i = unpacker.unpackArrayHeader(); i > 0; i--) {
      numbers.add(unpacker.unpackLong());
    }
    return numbers;
  }
}
