package org.dragonflyhill.daemon;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import org.dragonflyhill.core.ConfigurationObject.Service;
import org.dragonflyhill.core.ObjectKind;
import org.dragonflyhill.core.Refusal;
import org.dragonflyhill.core.RefusalReason;
import org.dragonflyhill.ports.PlatformError;
import org.dragonflyhill.ports.ServicePort;
import reactor.core.publisher.Mono;

/**
 * Calls plain services. Each request is sent at most once and is never retried.
 *
 * <p>Thread-safe. Arguments and return values are never null.
 */
public final class ServiceHandler {

  private static final int FIRST_SERVER_ERROR = 500;
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final ConfigurationController configuration;
  private final EndpointController endpoints;
  private final ServicePort services;
  private final InstantSource clock;

  /** Creates a handler. */
  public ServiceHandler(
      ConfigurationController configuration,
      EndpointController endpoints,
      ServicePort services,
      InstantSource clock) {
    this.configuration = configuration;
    this.endpoints = endpoints;
    this.services = services;
    this.clock = clock;
  }

  /** Sends the request to the service and returns its reply. */
  public Mono<Reply> handle(RequestContext context, Call.ServiceCall call) {
    Instant now = clock.instant();
    Optional<Service> service =
        configuration
            .find(ObjectKind.SERVICE, call.service(), Service.class)
            .filter(s -> endpoints.isUsable(s.name(), s.administrativeState(), now));
    if (service.isEmpty()) {
      return Mono.just(
          new Reply.Problem(
              Refusal.notRun(RefusalReason.NO_ENDPOINT, call.service() + " takes no requests")
                  .withRetryAfter(RETRY_AFTER)));
    }
    var request =
        new ServicePort.Call(
            context.requestId(),
            context.requiredOrganisation().name(),
            call.operation(),
            context.headers().idempotencyKey(),
            call.body());
    return Mono.deferContextual(
            values ->
                services.call(
                    service.get().address(), request, DispatchPermit.of(values)::mayDispatch))
        .map(answer -> reply(service.get(), answer));
  }

  private Reply reply(Service service, Either<PlatformError, ServicePort.Answer> answer) {
    boolean isUsable = answer.isRight() && answer.get().status() < FIRST_SERVER_ERROR;
    if (isUsable) {
      endpoints.recordSuccess(service.name());
      return new Reply.Json(answer.get().status(), answer.get().body());
    }
    endpoints.recordFailure(service.name(), clock.instant());
    boolean isUnsent = answer.isLeft() && answer.getLeft() instanceof PlatformError.NotSent;
    return new Reply.Problem(isUnsent ? notReached(service) : outcomeUnknown(service));
  }

  private static Refusal notReached(Service service) {
    return Refusal.notRun(RefusalReason.ENDPOINT_FAILED, service.name() + " was not reached")
        .withRetryAfter(RETRY_AFTER);
  }

  // The execution is unknown even after an error status, because the service may have carried out
  // part of the request before it failed.
  private static Refusal outcomeUnknown(Service service) {
    return Refusal.unknown(
        RefusalReason.ENDPOINT_FAILED, service.name() + " gave no usable answer");
  }
}
