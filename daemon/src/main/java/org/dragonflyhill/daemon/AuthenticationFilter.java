package org.dragonflyhill.daemon;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
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

  private final ConfigurationController configuration;

  /** Creates a filter that looks up keys in the current configuration. */
  public AuthenticationFilter(ConfigurationController configuration) {
    this.configuration = configuration;
  }

  @Override
  public Mono<Reply> handle(RequestContext context, Handler next) {
    if (configuration.state().version() < 0) {
      return problem(RefusalReason.NO_CONFIGURATION, "this node has no configuration yet");
    }
    Optional<Organisation> organisation =
        context
            .headers()
            .bearerKey()
            .map(AuthenticationFilter::sha256)
            .flatMap(this::organisationByKeyHash);
    if (organisation.isEmpty()) {
      return problem(RefusalReason.UNAUTHENTICATED, "the bearer key is missing or unknown");
    }
    return next.handle(context.withOrganisation(organisation.get()));
  }

  private Optional<Organisation> organisationByKeyHash(String hash) {
    return configuration.view().organisationByKeyHash(hash);
  }

  private static Mono<Reply> problem(RefusalReason reason, String detail) {
    return Mono.just(new Reply.Problem(Refusal.notRun(reason, detail)));
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
