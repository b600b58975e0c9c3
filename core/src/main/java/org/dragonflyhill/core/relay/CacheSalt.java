package org.dragonflyhill.core.relay;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Collection;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;

/**
 * Derives the salts under which runners and stores keep cached parts of prompts. Organisations that
 * are isolated have salts of their own. All others share one that depends on which ones are
 * isolated: an organisation that becomes isolated has left parts under the salt shared before.
 *
 * <p>Immutable and thread-safe; no argument may be null.
 */
public final class CacheSalt {

  /** Separates the weight version from the rest of a salt. */
  private static final String SEPARATOR = "#";

  /** Length of the digest of the isolated organisations, in bytes. */
  private static final int DIGEST_LENGTH = 8;

  private final String sharedSuffix;

  /** Creates the salts of a configuration with these organisations. */
  public CacheSalt(Collection<Organisation> organisations) {
    List<String> isolated =
        organisations.stream()
            .filter(Organisation::isIsolated)
            .map(Organisation::name)
            .sorted()
            .toList();
    sharedSuffix = isolated.isEmpty() ? "" : SEPARATOR + SEPARATOR + digest(isolated);
  }

  private static String digest(List<String> names) {
    MessageDigest digest = RequestFingerprint.sha256();
    for (String name : names) {
      digest.update((name.length() + ":" + name).getBytes(StandardCharsets.UTF_8));
    }
    return HexFormat.of().formatHex(digest.digest(), 0, DIGEST_LENGTH);
  }

  /** Returns the salt of a weight version of a model for an organisation, empty if none. */
  public String of(String model, long version, Optional<Organisation> organisation) {
    return model
        + "@"
        + version
        + organisation
            .filter(Organisation::isIsolated)
            .map(isolated -> SEPARATOR + isolated.name())
            .orElse(sharedSuffix);
  }
}
