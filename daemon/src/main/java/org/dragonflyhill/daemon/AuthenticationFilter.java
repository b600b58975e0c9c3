package org.dragonflyhill.daemon;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.HexFormat;
import java.util.Optional;
import org.dragonflyhill.core.ConfigurationObject.Organisation;
import org.dragonflyhill.core.Refusal;
import org.dragonflyhill.core.RefusalReason;
import reactor.core.publisher.Mono;

/**
 * Authenticates a request: looks up the organisation that its bearer key belongs to.
 *
 * <p>Thread-safe; nothing is null.
 */
public final class AuthenticationFilter implements RequestFilter {

  private static final Duration NO_CONFIGURATION_RETRY_AFTER = Duration.ofSeconds(1);

  private final ConfigurationController configuration;

  /** Creates a filter that looks up keys in the current configuration. */
  public AuthenticationFilter(ConfigurationController configuration) {
    this.configuration = configuration;
  }

  @Override
  public Mono<Reply> handle(RequestContext context, Handler next) {
    if (configuration.state().version() < 0) {
      return problem(noConfiguration(context));
    }
    Optional<Organisation> organisation =
        context
            .headers()
            .bearerKey()
            .map(AuthenticationFilter::sha256)
            .flatMap(this::organisationByKeyHash);
    if (organisation.isEmpty()) {
      return problem(
          Refusal.notRun(RefusalReason.UNAUTHENTICATED, "the bearer key is missing or unknown"));
    }
    return next.handle(context.withOrganisation(organisation.get()));
  }

  private Optional<Organisation> organisationByKeyHash(String hash) {
    return configuration.view().organisationByKeyHash(hash);
  }

  // Another node may have run a copy of a request with a key. This node cannot look that up yet.
  private static Refusal noConfiguration(RequestContext context) {
    boolean mayHaveCopies =
        context.headers().idempotencyKey().isPresent()
            || context.call() instanceof Call.OutcomeQuery;
    String detail = "this node has no configuration yet";
    Refusal refusal =
        mayHaveCopies
            ? Refusal.unknown(RefusalReason.NO_CONFIGURATION, detail)
            : Refusal.notRun(RefusalReason.NO_CONFIGURATION, detail);
    return refusal.withRetryAfter(NO_CONFIGURATION_RETRY_AFTER);
  }

  private static Mono<Reply> problem(Refusal refusal) {
    return Mono.just(new Reply.Problem(refusal));
  }

  /** Returns the lower-case hexadecimal SHA-256 digest of a text. */
  static String sha256(String text) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is missing from the Java runtime", e);
    }
  }
}
