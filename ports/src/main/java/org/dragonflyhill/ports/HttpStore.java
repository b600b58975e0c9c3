package org.dragonflyhill.ports;

import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.dragonflyhill.core.PieceManifest;
import reactor.core.publisher.Mono;

/** Stores over HTTP. Immutable and thread-safe; no argument may be null. */
public final class HttpStore implements StorePort {

  private static final int NOT_FOUND = 404;

  private final HttpCaller caller;
  private final Duration timeout;

  /**
   * Creates an adapter.
   *
   * @param caller makes the calls
   * @param timeout time limit of a call
   */
  public HttpStore(HttpCaller caller, Duration timeout) {
    this.caller = caller;
    this.timeout = timeout;
  }

  @Override
  public Mono<Either<PlatformError, Listing>> list(String address, String after, int limit) {
    String path = "/manifests?after=%s&limit=%d".formatted(after, limit);
    return read(address, path, Listing.class);
  }

  @Override
  public Mono<Either<PlatformError, Changes>> changes(
      String address, String epoch, long from, int limit) {
    String path = "/changes?epoch=%s&from=%d&limit=%d".formatted(epoch, from, limit);
    return read(address, path, Changes.class);
  }

  @Override
  public Mono<Either<PlatformError, Optional<PieceManifest>>> find(String address, String pieceId) {
    return read(address, "/manifests/" + pieceId, PieceManifest.class).map(HttpStore::found);
  }

  @Override
  public Mono<Either<PlatformError, Boolean>> putManifest(String address, PieceManifest manifest) {
    String path = "/manifests/" + manifest.pieceId();
    return done(HttpMethod.PUT, address, path, Json.write(manifest));
  }

  @Override
  public Mono<Either<PlatformError, Boolean>> unlist(
      String address, String pieceId, String objectName) {
    String path = "/manifests/%s?object=%s".formatted(pieceId, objectName);
    return done(HttpMethod.DELETE, address, path, "");
  }

  @Override
  public Mono<Either<PlatformError, Boolean>> delete(String address, String objectName) {
    return done(HttpMethod.DELETE, address, "/objects/" + objectName, "");
  }

  @Override
  public Mono<Either<PlatformError, Objects>> objects(String address, String after, int limit) {
    return read(address, "/objects?after=%s&limit=%d".formatted(after, limit), Objects.class);
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

  private Mono<Either<PlatformError, Boolean>> done(
      HttpMethod method, String address, String path, String body) {
    return caller
        .call(method, address, path, List.of(), body, timeout)
        .map(reply -> reply.map(r -> true));
  }

  private static Either<PlatformError, Optional<PieceManifest>> found(
      Either<PlatformError, PieceManifest> answer) {
    if (answer.isLeft()
        && answer.getLeft() instanceof PlatformError.Refused refused
        && refused.status() == NOT_FOUND) {
      return Either.right(Optional.empty());
    }
    return answer.map(Optional::of);
  }
}
