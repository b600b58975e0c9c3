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
 * Stand-in of a store of kept KV cache: objects that are written once, and manifests that list
 * them.
 *
 * <p>An object that is deleted while it is read is returned as zeros, as reused memory would be.
 * Thread-safe; no argument may be null.
 */
public final class StoreStandin implements StandinServer.Handler {

  private static final int CREATED = 201;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int DISK_FULL = 507;
  private static final String EMPTY = "{}";

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
   * @param capacityBytes bytes of objects that it takes
   * @param faults failures in force
   * @param recorder takes a record of each write, read and deletion
   * @param clock present time
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
    List<String> parts = request.parts();
    String name = parts.size() == 2 ? parts.get(1) : "";
    return switch (request.method() + " " + parts.getFirst()) {
      case "PUT objects" -> write(request.body().length, () -> putObject(name, request.body()));
      case "PUT manifests" -> write(0, () -> putManifest(request.read(PieceManifest.class)));
      case "GET objects" -> name.isEmpty() ? Mono.just(objects(request)) : readObject(name);
      case "GET manifests" -> Mono.just(name.isEmpty() ? manifests(request) : manifest(name));
      case "GET changes" -> Mono.just(changes(request));
      case "GET usage" -> Mono.just(StandinReply.json(usage()));
      case "DELETE objects" -> Mono.just(delete(name));
      case "DELETE manifests" -> Mono.just(unlist(name, request.parameter("object")));
      default -> Mono.just(StandinReply.text(NOT_FOUND, EMPTY));
    };
  }

  private Mono<StandinReply> write(long bytes, Supplier<StandinReply> effect) {
    Faults now = faults.get();
    if (now.writeDelayMillis() > 0) {
      Mono.delay(Duration.ofMillis(now.writeDelayMillis())).subscribe(tick -> effect.get());
      return Mono.just(new StandinReply.Cut());
    }
    return Mono.fromSupplier(effect).delaySubscription(transferTime(bytes));
  }

  private Duration transferTime(long bytes) {
    long rate = faults.get().linkBytesPerSecond();
    return rate == 0 ? Duration.ZERO : Duration.ofMillis(bytes * 1_000 / rate);
  }

  private synchronized StandinReply putObject(String name, byte[] body) {
    if (objects.containsKey(name)) {
      return StandinReply.text(CONFLICT, EMPTY);
    }
    if (faults.get().isDiskFull() || usage().usedBytes() + body.length > capacityBytes) {
      return StandinReply.text(DISK_FULL, EMPTY);
    }
    boolean isPartial = faults.get().partialWrites();
    byte[] stored = isPartial ? Arrays.copyOf(body, body.length / 2) : body;
    objects.put(name, stored);
    recorder.accept(
        new Wrote(name, stored.length, PieceBytes.sha256(stored), isPartial, clock.millis()));
    return isPartial ? new StandinReply.Cut() : StandinReply.text(CREATED, EMPTY);
  }

  private synchronized StandinReply putManifest(PieceManifest manifest) {
    if (manifests.containsKey(manifest.pieceId())) {
      return StandinReply.text(CONFLICT, EMPTY);
    }
    manifests.put(manifest.pieceId(), manifest);
    note(manifest.pieceId(), Optional.of(manifest));
    recorder.accept(new Listed(manifest.pieceId(), manifest.objectName(), clock.millis()));
    return StandinReply.text(CREATED, EMPTY);
  }

  private synchronized StandinReply manifest(String pieceId) {
    return Optional.ofNullable(manifests.get(pieceId))
        .map(StandinReply::json)
        .orElseGet(() -> StandinReply.text(NOT_FOUND, EMPTY));
  }

  private Mono<StandinReply> readObject(String name) {
    byte[] before = object(name);
    if (before == null) {
      return Mono.just(StandinReply.text(NOT_FOUND, EMPTY));
    }
    return Mono.fromSupplier(() -> read(name, before.length))
        .delaySubscription(transferTime(before.length));
  }

  private synchronized byte[] object(String name) {
    return objects.get(name);
  }

  private synchronized StandinReply read(String name, int length) {
    Faults now = faults.get();
    byte[] bytes = objects.getOrDefault(name, new byte[length]).clone();
    if (now.swapReads()) {
      bytes = other(name).clone();
    }
    if (now.corruptReads() && bytes.length > 0) {
      bytes[bytes.length / 2] ^= 1;
    }
    if (now.truncateReads()) {
      bytes = Arrays.copyOf(bytes, Math.max(0, bytes.length - 1));
    }
    recorder.accept(new Read(name, bytes.length, PieceBytes.sha256(bytes), clock.millis()));
    return new StandinReply.Whole(200, "application/octet-stream", bytes);
  }

  private byte[] other(String name) {
    return objects.keySet().stream()
        .filter(key -> !key.equals(name))
        .findFirst()
        .map(objects::get)
        .orElse(new byte[1]);
  }

  private synchronized StandinReply delete(String name) {
    if (objects.remove(name) == null) {
      return StandinReply.text(NOT_FOUND, EMPTY);
    }
    recorder.accept(new Deleted(name, clock.millis()));
    return StandinReply.text(200, EMPTY);
  }

  private synchronized StandinReply unlist(String pieceId, String objectName) {
    PieceManifest manifest = manifests.get(pieceId);
    if (manifest == null || !manifest.objectName().equals(objectName)) {
      return StandinReply.text(NOT_FOUND, EMPTY);
    }
    manifests.remove(pieceId);
    note(pieceId, Optional.empty());
    recorder.accept(new Unlisted(pieceId, objectName, clock.millis()));
    return StandinReply.text(200, EMPTY);
  }

  private void note(String pieceId, Optional<PieceManifest> manifest) {
    changes.add(new StorePort.Change(changes.size(), pieceId, manifest));
  }

  private synchronized StandinReply manifests(StandinRequest request) {
    int limit = (int) request.number("limit");
    var page = manifests.tailMap(request.parameter("after"), false).values();
    return StandinReply.json(
        new StorePort.ManifestPage(
            epoch, changes.size(), page.stream().limit(limit).toList(), page.size() <= limit));
  }

  private synchronized StandinReply changes(StandinRequest request) {
    int from = (int) Math.min(request.number("from"), changes.size());
    int to = (int) Math.min(from + request.number("limit"), changes.size());
    return StandinReply.json(
        new StorePort.ChangePage(epoch, 0, to, List.copyOf(changes.subList(from, to))));
  }

  private synchronized StandinReply objects(StandinRequest request) {
    int limit = (int) request.number("limit");
    var tail = objects.tailMap(request.parameter("after"), false);
    List<StorePort.StoredObject> page =
        tail.entrySet().stream()
            .limit(limit)
            .map(entry -> new StorePort.StoredObject(entry.getKey(), entry.getValue().length))
            .toList();
    return StandinReply.json(new StorePort.ObjectPage(page, tail.size() <= limit));
  }

  private synchronized StorePort.Usage usage() {
    long used = objects.values().stream().mapToLong(bytes -> bytes.length).sum();
    return new StorePort.Usage(used, objects.size(), manifests.size());
  }

  /**
   * Record of an object that was written.
   *
   * @param wroteObject its name
   * @param length bytes that were kept
   * @param sha256 digest of what was kept
   * @param isPartial whether it is not whole
   * @param atMillis time, milliseconds since the epoch
   */
  public record Wrote(
      String wroteObject, long length, String sha256, boolean isPartial, long atMillis) {}

  /**
   * Record of an object that was read.
   *
   * @param readObject its name
   * @param length bytes that were returned
   * @param sha256 digest of what was returned
   * @param atMillis time, milliseconds since the epoch
   */
  public record Read(String readObject, long length, String sha256, long atMillis) {}

  /**
   * Record of a manifest that was written.
   *
   * @param listedPiece id of the piece
   * @param objectName name of the object
   * @param atMillis time, milliseconds since the epoch
   */
  public record Listed(String listedPiece, String objectName, long atMillis) {}

  /**
   * Record of a manifest that was removed.
   *
   * @param unlistedPiece id of the piece
   * @param objectName name of the object
   * @param atMillis time, milliseconds since the epoch
   */
  public record Unlisted(String unlistedPiece, String objectName, long atMillis) {}

  /**
   * Record of an object that was deleted.
   *
   * @param deletedObject its name
   * @param atMillis time, milliseconds since the epoch
   */
  public record Deleted(String deletedObject, long atMillis) {}
}
