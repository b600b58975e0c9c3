package org.dragonflyhill.standins;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.UUID;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.dragonflyhill.core.PieceManifest;
import org.dragonflyhill.ports.StorePort;
import reactor.core.publisher.Mono;

/**
 * Stand-in for a store of KV cache pieces. Objects are immutable, and each manifest assigns an
 * object to a piece.
 *
 * <p>A read of an object that is deleted before the transfer completes returns zeros, which
 * simulates memory that has been reused.
 *
 * <p>Thread-safe; no argument may be null.
 */
public final class StoreStandin implements StandinServer.Handler {

  private static final int CREATED = 201;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int DISK_FULL = 507;
  private static final String EMPTY_JSON = "{}";

  private final long capacityBytes;
  private final Supplier<Faults> faults;
  private final Consumer<Object> recorder;
  private final InstantSource clock;
  private final String epoch = UUID.randomUUID().toString();
  private final TreeMap<String, byte[]> objects = new TreeMap<>();
  private final TreeMap<String, PieceManifest> manifests = new TreeMap<>();
  private final List<StorePort.Change> changes = new ArrayList<>();

  /**
   * Creates a stand-in.
   *
   * @param capacityBytes maximum total size of the objects, in bytes
   * @param faults active faults
   * @param recorder receives a record of each write, read and deletion
   * @param clock source of the current time
   */
  public StoreStandin(
      long capacityBytes, Supplier<Faults> faults, Consumer<Object> recorder, InstantSource clock) {
    this.capacityBytes = capacityBytes;
    this.faults = faults;
    this.recorder = recorder;
    this.clock = clock;
  }

  @Override
  public Mono<StandinReply> handle(StandinRequest request) {
    List<String> segments = request.pathSegments();
    String name = segments.size() == 2 ? segments.get(1) : "";
    return switch (request.method() + " " + segments.getFirst()) {
      case "PUT objects" ->
          scheduleWrite(request.body().length, () -> putObject(name, request.body()));
      case "PUT manifests" ->
          scheduleWrite(0, () -> putManifest(request.parseBody(PieceManifest.class)));
      case "GET objects" -> name.isEmpty() ? Mono.just(listObjects(request)) : readObject(name);
      case "GET manifests" ->
          Mono.just(name.isEmpty() ? listManifests(request) : findManifest(name));
      case "GET changes" -> Mono.just(listChanges(request));
      case "GET usage" -> Mono.just(StandinReply.json(usage()));
      case "DELETE objects" -> Mono.just(deleteObject(name));
      case "DELETE manifests" -> Mono.just(deleteManifest(name, request.queryText("object")));
      default -> Mono.just(StandinReply.jsonText(NOT_FOUND, EMPTY_JSON));
    };
  }

  private Mono<StandinReply> scheduleWrite(long length, Supplier<StandinReply> operation) {
    Faults activeFaults = faults.get();
    if (activeFaults.writeDelayMillis() > 0) {
      Mono.delay(Duration.ofMillis(activeFaults.writeDelayMillis()))
          .subscribe(tick -> operation.get());
      return Mono.just(new StandinReply.CloseConnection());
    }
    return Mono.fromSupplier(operation).delaySubscription(transferTime(length));
  }

  private Duration transferTime(long length) {
    long bytesPerSecond = faults.get().linkBytesPerSecond();
    return bytesPerSecond == 0 ? Duration.ZERO : Duration.ofMillis(length * 1_000 / bytesPerSecond);
  }

  private synchronized StandinReply putObject(String name, byte[] body) {
    if (objects.containsKey(name)) {
      return StandinReply.jsonText(CONFLICT, EMPTY_JSON);
    }
    if (faults.get().isDiskFull() || usage().usedBytes() + body.length > capacityBytes) {
      return StandinReply.jsonText(DISK_FULL, EMPTY_JSON);
    }
    boolean isPartial = faults.get().partialWrites();
    byte[] stored = isPartial ? Arrays.copyOf(body, body.length / 2) : body;
    objects.put(name, stored);
    recorder.accept(
        new Wrote(name, stored.length, PieceBytes.sha256(stored), isPartial, clock.millis()));
    return isPartial
        ? new StandinReply.CloseConnection()
        : StandinReply.jsonText(CREATED, EMPTY_JSON);
  }

  private synchronized StandinReply putManifest(PieceManifest manifest) {
    if (manifests.containsKey(manifest.pieceId())) {
      return StandinReply.jsonText(CONFLICT, EMPTY_JSON);
    }
    manifests.put(manifest.pieceId(), manifest);
    appendChange(manifest.pieceId(), Optional.of(manifest));
    recorder.accept(new Listed(manifest.pieceId(), manifest.objectName(), clock.millis()));
    return StandinReply.jsonText(CREATED, EMPTY_JSON);
  }

  private synchronized StandinReply findManifest(String pieceId) {
    return Optional.ofNullable(manifests.get(pieceId))
        .map(StandinReply::json)
        .orElseGet(() -> StandinReply.jsonText(NOT_FOUND, EMPTY_JSON));
  }

  private Mono<StandinReply> readObject(String name) {
    byte[] stored = findObject(name);
    if (stored == null) {
      return Mono.just(StandinReply.jsonText(NOT_FOUND, EMPTY_JSON));
    }
    return Mono.fromSupplier(() -> finishRead(name, stored.length))
        .delaySubscription(transferTime(stored.length));
  }

  private synchronized byte[] findObject(String name) {
    return objects.get(name);
  }

  private synchronized StandinReply finishRead(String name, int length) {
    Faults activeFaults = faults.get();
    byte[] bytes = objects.getOrDefault(name, new byte[length]).clone();
    if (activeFaults.swapReads()) {
      bytes = anyOtherObject(name).clone();
    }
    if (activeFaults.corruptReads() && bytes.length > 0) {
      bytes[bytes.length / 2] ^= 1;
    }
    if (activeFaults.truncateReads()) {
      bytes = Arrays.copyOf(bytes, Math.max(0, bytes.length - 1));
    }
    recorder.accept(new Read(name, bytes.length, PieceBytes.sha256(bytes), clock.millis()));
    return new StandinReply.Complete(200, "application/octet-stream", bytes);
  }

  private byte[] anyOtherObject(String name) {
    return objects.keySet().stream()
        .filter(key -> !key.equals(name))
        .findFirst()
        .map(objects::get)
        .orElse(new byte[1]);
  }

  private synchronized StandinReply deleteObject(String name) {
    if (objects.remove(name) == null) {
      return StandinReply.jsonText(NOT_FOUND, EMPTY_JSON);
    }
    recorder.accept(new Deleted(name, clock.millis()));
    return StandinReply.jsonText(200, EMPTY_JSON);
  }

  private synchronized StandinReply deleteManifest(String pieceId, String objectName) {
    PieceManifest manifest = manifests.get(pieceId);
    if (manifest == null || !manifest.objectName().equals(objectName)) {
      return StandinReply.jsonText(NOT_FOUND, EMPTY_JSON);
    }
    manifests.remove(pieceId);
    appendChange(pieceId, Optional.empty());
    recorder.accept(new Unlisted(pieceId, objectName, clock.millis()));
    return StandinReply.jsonText(200, EMPTY_JSON);
  }

  private void appendChange(String pieceId, Optional<PieceManifest> manifest) {
    changes.add(new StorePort.Change(changes.size(), pieceId, manifest));
  }

  private synchronized StandinReply listManifests(StandinRequest request) {
    int limit = (int) request.queryNumber("limit");
    var remaining = manifests.tailMap(request.queryText("after"), false).values();
    return StandinReply.json(
        new StorePort.ManifestPage(
            epoch,
            changes.size(),
            remaining.stream().limit(limit).toList(),
            remaining.size() <= limit));
  }

  private synchronized StandinReply listChanges(StandinRequest request) {
    int from = (int) Math.min(request.queryNumber("from"), changes.size());
    int to = (int) Math.min(from + request.queryNumber("limit"), changes.size());
    return StandinReply.json(
        new StorePort.ChangePage(epoch, 0, to, List.copyOf(changes.subList(from, to))));
  }

  private synchronized StandinReply listObjects(StandinRequest request) {
    int limit = (int) request.queryNumber("limit");
    var remaining = objects.tailMap(request.queryText("after"), false);
    List<StorePort.StoredObject> page =
        remaining.entrySet().stream()
            .limit(limit)
            .map(entry -> new StorePort.StoredObject(entry.getKey(), entry.getValue().length))
            .toList();
    return StandinReply.json(new StorePort.ObjectPage(page, remaining.size() <= limit));
  }

  private synchronized StorePort.Usage usage() {
    long used = objects.values().stream().mapToLong(bytes -> bytes.length).sum();
    return new StorePort.Usage(used, objects.size(), manifests.size());
  }

  /**
   * Record of an object write.
   *
   * @param wroteObject name of the object
   * @param length number of bytes stored
   * @param sha256 digest of the stored bytes
   * @param isPartial whether only part of the object was stored
   * @param atMillis time of the write, milliseconds since the epoch
   */
  public record Wrote(
      String wroteObject, long length, String sha256, boolean isPartial, long atMillis) {}

  /**
   * Record of an object read.
   *
   * @param readObject name of the object
   * @param length number of bytes returned
   * @param sha256 digest of the returned bytes
   * @param atMillis time of the read, milliseconds since the epoch
   */
  public record Read(String readObject, long length, String sha256, long atMillis) {}

  /**
   * Record of a manifest write.
   *
   * @param listedPiece id of the piece
   * @param objectName name of the object that holds the piece
   * @param atMillis time of the write, milliseconds since the epoch
   */
  public record Listed(String listedPiece, String objectName, long atMillis) {}

  /**
   * Record of a manifest deletion.
   *
   * @param unlistedPiece id of the piece
   * @param objectName name of the object that held the piece
   * @param atMillis time of the deletion, milliseconds since the epoch
   */
  public record Unlisted(String unlistedPiece, String objectName, long atMillis) {}

  /**
   * Record of an object deletion.
   *
   * @param deletedObject name of the object
   * @param atMillis time of the deletion, milliseconds since the epoch
   */
  public record Deleted(String deletedObject, long atMillis) {}
}
