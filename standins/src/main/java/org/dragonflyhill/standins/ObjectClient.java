package org.dragonflyhill.standins;

import java.time.Duration;
import java.util.Optional;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;

/**
 * Transfers objects between the runner stand-in and stores. Thread-safe; no argument may be null.
 */
final class ObjectClient {

  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final int CREATED = 201;

  private final HttpClient client = HttpClient.create().disableRetry(true);

  /** Writes an object and returns whether the store confirmed that it was created. */
  Mono<Boolean> write(String address, String name, byte[] bytes) {
    return client
        .put()
        .uri(objectUri(address, name))
        .send(ByteBufFlux.fromInbound(Mono.just(bytes)))
        .responseSingle(
            (response, body) -> body.then(Mono.just(response.status().code() == CREATED)))
        .timeout(TIMEOUT)
        .onErrorReturn(false);
  }

  /** Reads an object, or returns an empty result if the read fails or times out. */
  Mono<Optional<byte[]>> read(String address, String name) {
    return client
        .get()
        .uri(objectUri(address, name))
        .responseSingle(
            (response, body) ->
                response.status().code() == 200 ? body.asByteArray() : Mono.<byte[]>empty())
        .timeout(TIMEOUT)
        .map(Optional::of)
        .onErrorReturn(Optional.empty())
        .defaultIfEmpty(Optional.empty());
  }

  private static String objectUri(String address, String name) {
    return "http://" + address + "/objects/" + name;
  }
}
