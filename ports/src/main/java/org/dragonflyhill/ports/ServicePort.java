package org.dragonflyhill.ports;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import reactor.core.publisher.Mono;

/** Calls of a plain service. Thread-safe; nothing is null. */
public interface ServicePort {

  /**
   * Calls an operation once; never sends it again by itself.
   *
   * @param address {@code host:port} of the service
   * @param call the call
   * @param mayStart asked right before the first byte; if it says no, nothing is sent and the
   *     result is {@link PlatformError.NotSent}
   */
  Mono<Either<PlatformError, Answer>> call(String address, Call call, BooleanSupplier mayStart);

  /**
   * One call.
   *
   * @param requestId id of the request, for the service's own records
   * @param organisation name of the organisation
   * @param operation name of the operation
   * @param idempotencyKey the caller's key, by which a service can tell copies itself
   * @param body JSON body
   */
  record Call(
      String requestId,
      String organisation,
      String operation,
      Optional<String> idempotencyKey,
      String body) {}

  /**
   * The answer, whatever its status.
   *
   * @param status HTTP status
   * @param body JSON body
   */
  record Answer(int status, String body) {}
}
