package org.dragonflyhill.ports;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import reactor.core.publisher.Mono;

/** Calls operations of plain services. Thread-safe; nothing is null. */
public interface ServicePort {

  /**
   * Calls an operation once. A failed call is not retried.
   *
   * @param address {@code host:port} of the service
   * @param call the call
   * @param mayStart checked right before the first byte is sent; if false, nothing is sent and the
   *     result is {@link PlatformError.NotSent}
   */
  Mono<Either<PlatformError, Answer>> call(String address, Call call, BooleanSupplier mayStart);

  /**
   * A call of an operation.
   *
   * @param requestId id of the request, for the logs of the service
   * @param organisation name of the organisation
   * @param operation name of the operation
   * @param idempotencyKey key from the caller, by which the service can recognise repeated requests
   * @param body JSON body
   */
  record Call(
      String requestId,
      String organisation,
      String operation,
      Optional<String> idempotencyKey,
      String body) {}

  /**
   * The response of a service, with any status.
   *
   * @param status HTTP status code
   * @param body JSON body
   */
  record Answer(int status, String body) {}
}
