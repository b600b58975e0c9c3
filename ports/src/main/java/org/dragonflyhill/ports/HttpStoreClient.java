package org.dragonflyhill.ports;

import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.dragonflyhill.core.PieceManifest;
import reactor.core.publisher.Mono;

/** HTTP client for KV cache stores. Immutable and thread-safe; no argument may be null. */
public final class HttpStoreClient implements StorePort {

  private static final int NOT_FOUND = 404;

  private final HttpCaller caller;
  private final Duration timeout;

  /**
   * Creates a client.
   *
   * @param caller makes the HTTP calls
   * @param timeout time limit for a call
   */
  public HttpStoreClient(HttpCaller caller, Duration timeout) {
    this.caller = caller;
    this.timeout = timeout;
  }

  @Override
  public Mono<Either<PlatformError, ManifestPage>> listManifests(
      String address, String after, int limit) {
    String path = "/manifests?after=%s&limit=%d".formatted(after, limit);
    return read(address, path, ManifestPage.class);
  }

  @Override
  public Mono<Either<PlatformError, ChangePage>> changes(
      String address, String epoch, long from, int limit) {
    String path = "/changes?epoch=%s&from=%d&limit=%d".formatted(epoch, from, limit);
    return read(address, path, ChangePage.class);
  }

  @Override
  public Mono<Either<PlatformError, Optional<PieceManifest>>> findManifest(
      String address, String pieceId) {
    return read(address, "/manifests/" + pieceId, PieceManifest.class)
        .map(HttpStoreClient::emptyIfNotFound);
  }

  @Override
  public Mono<Either<PlatformError, Boolean>> putManifest(String address, PieceManifest manifest) {
    String path = "/manifests/" + manifest.pieceId();
    return execute(HttpMethod.PUT, address, path, Json.write(manifest));
  }

  @Override
  public Mono<Either<PlatformError, Boolean>> deleteManifest(
      String address, String pieceId, String objectName) {
    String path = "/manifests/%s?object=%s".formatted(pieceId, objectName);
    return execute(HttpMethod.DELETE, address, path, "");
  }

  @Override
  public Mono<Either<PlatformError, Boolean>> deleteObject(String address, String objectName) {
    return execute(HttpMethod.DELETE, address, "/objects/" + objectName, "");
  }

  @Override
  public Mono<Either<PlatformError, ObjectPage>> listObjects(
      String address, String after, int limit) {
    return read(address, "/objects?after=%s&limit=%d".formatted(after, limit), ObjectPage.class);
  }

  @Override
  public Mono<Either<PlatformError, Usage>> usage(String address) {
    return read(address, "/usage", Usage.class);
  }

  private <T> Mono<Either<PlatformError, T>> read(String address, String path, Class<T> type) {
    return caller
        .call(HttpMethod.GET, address, path, List.of(), "", timeout)
        .map(reply -> reply.flatMap(r -> r.read(type)));
  }

  private Mono<Either<PlatformError, Boolean>> execute(
      HttpMethod method, String address, String path, String body) {
    return caller
        .call(method, address, path, List.of(), body, timeout)
        .map(reply -> reply.map(r -> true));
  }

  private static Either<PlatformError, Optional<PieceManifest>> emptyIfNotFound(
      Either<PlatformError, PieceManifest> answer) {
    if (answer.isLeft()
        && answer.getLeft() instanceof PlatformError.Refused refused
        && refused.status() == NOT_FOUND) {
      return Either.right(Optional.empty());
    }
    return answer.map(Optional::of);
  }
}
