package org.dragonflyhill.daemon;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.dragonflyhill.core.SnapshotPolicy;
import org.dragonflyhill.ports.SettingSpec;
import org.dragonflyhill.ports.SettingValues;

/**
 * Settings of the daemon.
 *
 * <p>Immutable and thread-safe; no component is null.
 *
 * @param node name of this node
 * @param availabilityZone name of its availability zone
 * @param host IP address to listen on
 * @param httpPort port for callers, 0 for any
 * @param adminPort port for operators, 0 for any
 * @param peerPort port for other nodes, 0 for any
 * @param logAddress address of the log service
 * @param hostListAddress address of the host list
 * @param secret key shared by all nodes
 * @param maxBodyBytes maximum size of a request body, in bytes
 * @param maxConnections maximum number of caller connections
 * @param bodyTimeout time limit for receiving the headers of a request, and again for its body
 * @param platformTimeout time limit for a call to the platform
 * @param balancerDelay how long a stopping node, which reports that it is not ready, still accepts
 *     requests, so that the load balancer can stop sending them
 * @param snapshotAge age of the last configuration snapshot at which the next one is due
 * @param claimStepFault fault that tests inject at a step of a non-repeatable request
 * @param readLease maximum time from the choice of a stored piece to the end of its read
 * @param sweepInterval time between sweeps of a store
 * @param stopTimeout how long a stopping node waits for running requests after {@code
 *     balancerDelay}
 */
public record DaemonSettings(
    String node,
    String availabilityZone,
    String host,
    int httpPort,
    int adminPort,
    int peerPort,
    String logAddress,
    String hostListAddress,
    String secret,
    int maxBodyBytes,
    int maxConnections,
    Duration bodyTimeout,
    Duration platformTimeout,
    Duration balancerDelay,
    Duration snapshotAge,
    ClaimStepFault claimStepFault,
    Duration readLease,
    Duration sweepInterval,
    Duration stopTimeout) {

  private static final int MIN_SECRET_LENGTH = 16;
  private static final int MAX_PORT = 65_535;
  private static final String NO_FAULT = "none";

  /** Specifications of all settings. */
  public static final List<SettingSpec> SPECS =
      List.of(
          SettingSpec.required("node", "name of this node"),
          SettingSpec.required("zone", "name of the availability zone of this node"),
          SettingSpec.optional("host", "127.0.0.1", "IP address to listen on"),
          SettingSpec.optional("http-port", "8080", "port for callers, 0 for any"),
          SettingSpec.optional("admin-port", "8081", "port for operators, 0 for any"),
          SettingSpec.optional("peer-port", "8082", "port for other nodes, 0 for any"),
          SettingSpec.required("log", "host:port of the log service"),
          SettingSpec.required("host-list", "host:port of the host list"),
          SettingSpec.secret("secret", "key shared by all nodes, at least 16 characters"),
          SettingSpec.optional(
              "max-body-bytes", "8388608", "maximum size of a request body, in bytes"),
          SettingSpec.optional("max-connections", "10000", "maximum number of caller connections"),
          SettingSpec.optional(
              "body-timeout-millis",
              "10000",
              "time limit for receiving the headers of a request, and again for its body, in"
                  + " milliseconds"),
          SettingSpec.optional(
              "platform-timeout-millis",
              "2000",
              "time limit for a call to the platform, in milliseconds"),
          SettingSpec.optional(
              "balancer-delay-millis",
              "3000",
              "how long a stopping node still accepts requests, in milliseconds"),
          SettingSpec.optional(
              "snapshot-age-millis",
              "1800000",
              "age of the last configuration snapshot at which the next one is due, in"
                  + " milliseconds; must be well below the retention of the log"),
          SettingSpec.optional(
              "fail-at",
              NO_FAULT,
              "fault injection for tests: step of a non-repeatable request at which the fault"
                  + " occurs"),
          SettingSpec.optional(
              "fail-pause-millis",
              "0",
              "how long the request pauses at that step, in milliseconds; 0 halts the process"
                  + " instead"),
          SettingSpec.optional(
              "read-lease-millis",
              "30000",
              "maximum time from the choice of a stored piece to the end of its read, in"
                  + " milliseconds"),
          SettingSpec.optional(
              "sweep-interval-millis", "30000", "time between sweeps of a store, in milliseconds"),
          SettingSpec.optional(
              "stop-timeout-millis",
              "120000",
              "how long a stopping node waits for running requests after balancer-delay-millis,"
                  + " in milliseconds"));

  /**
   * Converts the values to settings. Errors are added to {@link SettingValues#errors()}; if there
   * are any, the settings must not be used.
   */
  public static DaemonSettings from(SettingValues values) {
    return new DaemonSettings(
        values.name("node"),
        values.name("zone"),
        values.text("host"),
        values.integer("http-port", 0, MAX_PORT),
        values.integer("admin-port", 0, MAX_PORT),
        values.integer("peer-port", 0, MAX_PORT),
        values.address("log"),
        values.address("host-list"),
        values.secret("secret", MIN_SECRET_LENGTH),
        values.integer("max-body-bytes", 1_024, 1 << 30),
        values.integer("max-connections", 1, 1_000_000),
        values.millis("body-timeout-millis"),
        values.millis("platform-timeout-millis"),
        values.millis("balancer-delay-millis"),
        values.millis("snapshot-age-millis"),
        claimStepFault(values),
        values.millis("read-lease-millis"),
        values.millis("sweep-interval-millis"),
        values.millis("stop-timeout-millis"));
  }

  /** Returns the policy by which this node appends snapshots of the configuration. */
  public SnapshotPolicy snapshotPolicy() {
    return SnapshotPolicy.DEFAULT.withMaxAge(snapshotAge);
  }

  private static ClaimStepFault claimStepFault(SettingValues values) {
    int pause = values.integer("fail-pause-millis", 0, Integer.MAX_VALUE);
    String name = values.text("fail-at");
    Optional<ClaimStep> step = ClaimStep.fromSettingName(name);
    if (step.isEmpty() && !name.equals(NO_FAULT)) {
      String known =
          Arrays.stream(ClaimStep.values())
              .map(ClaimStep::settingName)
              .collect(Collectors.joining(", "));
      values.addError("fail-at", "expected " + NO_FAULT + " or one of " + known);
    }
    return new ClaimStepFault(step, Duration.ofMillis(pause));
  }
}
