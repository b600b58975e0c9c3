package org.dragonflyhill.core.relay;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Collection;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Derives the salts under which runners and stores keep cached parts of prompts. Organisations that
 * are isolated have salts of their own. All others share one that depends on which ones are
 * isolated: an organisation that becomes isolated has left parts under the salt shared before.
 *
 * <p>A salt consists of visible ASCII characters, so that header fields and JSON carry it
 * unchanged. Its form is {@code MODEL/VERSION}, followed by {@code /ORGANISATION} if isolated or by
 * {@code //DIGEST} of the isolated ones; names are percent-encoded, so different names never yield
 * one salt. The shared salt of a model with a plain name is {@code MODEL@VERSION}, with {@code
 * ##DIGEST}, as in release 3ede14c and earlier: both releases share their cache during an upgrade.
 * Those wrote all names as they are, so their other salts cannot be told apart and are not used.
 *
 * <p>Immutable and thread-safe; no argument may be null.
 */
public final class CacheSalt {

  /** Separates the items of a salt; percent-encoded names do not contain it. */
  private static final String SEPARATOR = "/";

  private static final String PLAIN_VERSION_SEPARATOR = "@";
  private static final String PLAIN_DIGEST_SEPARATOR = "##";

  /**
   * Names of models that earlier releases wrote unambiguously. They replaced other characters with
   * a question mark.
   */
  private static final Pattern PLAIN_NAME = Pattern.compile("[!-~&&[^@#?]]+");

  /** What follows the model in a salt of this release or an earlier one. */
  private static final Pattern VERSION_AND_REST = Pattern.compile("([0-9]{1,18})(?:[/#].*)?");

  /** Length of the digest of the isolated organisations, in bytes. */
  private static final int DIGEST_LENGTH = 8;

  private final SortedSet<String> isolatedNames = new TreeSet<>();
  private final Optional<String> isolatedDigest;

  /** Creates the salts of a configuration with these organisations. */
  public CacheSalt(Collection<Organisation> organisations) {
    organisations.stream()
        .filter(Organisation::isIsolated)
        .map(Organisation::name)
        .forEach(isolatedNames::add);
    isolatedDigest =
        isolatedNames.isEmpty() ? Optional.empty() : Optional.of(digest(isolatedNames));
  }

  private static String digest(SortedSet<String> names) {
    MessageDigest digest = RequestFingerprint.sha256();
    for (String name : names) {
      digest.update((name.length() + ":" + name).getBytes(StandardCharsets.UTF_8));
    }
    return HexFormat.of().formatHex(digest.digest(), 0, DIGEST_LENGTH);
  }

  /**
   * Returns the salt of a weight version of a model for an organisation, which may be that of an
   * earlier configuration: it has a salt of its own if it is isolated in either.
   *
   * @param model name of the model
   * @param version weight version, or {@link Runner#UNKNOWN_WEIGHTS}
   * @param organisation organisation that the request belongs to, empty if none
   */
  public String of(String model, long version, Optional<Organisation> organisation) {
    Optional<String> isolated =
        organisation
            .filter(caller -> caller.isIsolated() || isolatedNames.contains(caller.name()))
            .map(Organisation::name);
    // Earlier releases have parts of several versions under a salt of unknown weights.
    boolean isPlain = version != Runner.UNKNOWN_WEIGHTS && PLAIN_NAME.matcher(model).matches();
    if (isPlain && isolated.isEmpty()) {
      return model
          + PLAIN_VERSION_SEPARATOR
          + version
          + isolatedDigest.map(digest -> PLAIN_DIGEST_SEPARATOR + digest).orElse("");
    }
    return encode(model)
        + SEPARATOR
        + version
        + isolated
            .map(name -> SEPARATOR + encode(name))
            .or(() -> isolatedDigest.map(digest -> SEPARATOR + SEPARATOR + digest))
            .orElse("");
  }

  /** Returns the weight version in a salt, empty if the salt is not one of the given model. */
  public static OptionalLong weightVersion(String salt, String model) {
    for (String prefix : List.of(encode(model) + SEPARATOR, model + PLAIN_VERSION_SEPARATOR)) {
      if (salt.startsWith(prefix)) {
        Matcher rest = VERSION_AND_REST.matcher(salt.substring(prefix.length()));
        if (rest.matches()) {
          return OptionalLong.of(Long.parseLong(rest.group(1)));
        }
      }
    }
    return OptionalLong.empty();
  }

  private static String encode(String name) {
    return URLEncoder.encode(name, StandardCharsets.UTF_8);
  }
}
