package org.dragonflyhill.ports;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.dragonflyhill.core.ConfigurationState;
import org.dragonflyhill.core.ObjectKey;

/**
 * A configuration serialized as text, with a digest. Snapshots and messages between peers contain
 * it.
 *
 * <p>The digest is that of the text as written, so a program of another version can verify it even
 * if it does not know all fields of the text.
 *
 * <pre>{@code
 * SerializedState serialized = SerializedState.of(state);
 * Either<String, ConfigurationState> read = serialized.read();
 * }</pre>
 *
 * <p>Immutable and thread-safe; no component is null.
 *
 * @param schema schema version of the text
 * @param through offset of the last record that the state includes
 * @param text the configuration as JSON
 * @param digest lower-case hexadecimal SHA-256 digest of the text
 */
public record SerializedState(int schema, long through, String text, String digest) {

  /** Serializes a configuration. */
  public static SerializedState of(ConfigurationState state) {
    var fields =
        new StateFields(
            state.throughOffset(),
            state.version(),
            List.copyOf(state.objects().values()),
            state.decisions());
    String text = Json.write(fields);
    return new SerializedState(
        ConfigurationRecord.SCHEMA, state.throughOffset(), text, sha256(text));
  }

  /** Returns the serialized configuration of a snapshot record. */
  public static SerializedState of(ConfigurationRecord.Snapshot snapshot) {
    return new SerializedState(
        snapshot.schema(), snapshot.through(), snapshot.state(), snapshot.digest());
  }

  /** Returns a snapshot record with this configuration. */
  public ConfigurationRecord.Snapshot toSnapshotRecord() {
    return new ConfigurationRecord.Snapshot(schema, through, text, digest);
  }

  /**
   * Parses the configuration, or returns what is wrong: a newer schema version, a wrong digest, an
   * unreadable text or a wrong offset.
   */
  public Either<String, ConfigurationState> read() {
    if (schema > ConfigurationRecord.SCHEMA) {
      return Either.left("schema " + schema + ", expected " + ConfigurationRecord.SCHEMA);
    }
    String computed = sha256(text);
    if (!computed.equals(digest)) {
      return Either.left("digest " + digest + ", expected " + computed);
    }
    return Json.read(text, StateFields.class)
        .map(StateFields::toState)
        .filterOrElse(
            state -> state.throughOffset() == through,
            state -> "state through " + state.throughOffset() + ", expected " + through);
  }

  private static String sha256(String text) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  private record StateFields(
      long throughOffset,
      long version,
      List<ConfigurationState.VersionedObject> objects,
      List<ConfigurationState.ChangeDecision> decisions) {

    ConfigurationState toState() {
      SortedMap<ObjectKey, ConfigurationState.VersionedObject> byKey = new TreeMap<>();
      objects.forEach(versioned -> byKey.put(versioned.object().key(), versioned));
      return new ConfigurationState(throughOffset, version, byKey, decisions);
    }
  }
}
