package org.dragonflyhill.core;

import java.util.List;
import java.util.Optional;

/**
 * One object of the operators' inventory, such as a runner or an organisation.
 *
 * <p>All variants are immutable and thread-safe; no component is null.
 */
public sealed interface ConfigurationObject {

  /** Returns the name, unique among objects of the same kind. */
  String name();

  /** Returns the key under which the configuration keeps this object. */
  default ObjectKey key() {
    return new ObjectKey(ObjectKind.of(this), name());
  }

  /**
   * A set of machines that fail together.
   *
   * @param name unique name
   * @param region name of the region that the availability zone belongs to
   */
  record AvailabilityZone(String name, String region) implements ConfigurationObject {}

  /**
   * A customer, whose data no other customer may see.
   *
   * @param name unique name
   * @param keyHashes lower-case hexadecimal SHA-256 digests of the bearer keys
   * @param share weight among organisations when work is scarce, at least 1
   * @param tokensPerMinute limit of work in tokens a minute
   */
  record Organisation(String name, List<String> keyHashes, int share, long tokensPerMinute)
      implements ConfigurationObject {
    /** Copies the list so that the record stays immutable. */
    public Organisation {
      keyHashes = List.copyOf(keyHashes);
    }
  }

  /**
   * A language model and the weight version that new requests use.
   *
   * @param name unique name
   * @param weightVersion version of the weights for new requests
   * @param prefillTokensPerSecond prompt tokens that one runner computes a second
   * @param cacheBytesPerToken bytes of KV cache for one token
   */
  record Model(
      String name, String weightVersion, long prefillTokensPerSecond, long cacheBytesPerToken)
      implements ConfigurationObject {}

  /**
   * A model engine on an accelerator.
   *
   * @param name unique name
   * @param availabilityZone name of its availability zone
   * @param address {@code host:port} of its HTTP interface
   * @param model name of the model that it should serve
   * @param slots requests that it runs at once
   * @param cacheTokens tokens that its prefix cache holds
   * @param linkBytesPerSecond bandwidth of its link to the stores
   * @param checksFencing whether it refuses orders with an old fencing token
   * @param administrativeState whether it takes new work
   */
  record Runner(
      String name,
      String availabilityZone,
      String address,
      String model,
      int slots,
      long cacheTokens,
      long linkBytesPerSecond,
      boolean checksFencing,
      AdministrativeState administrativeState)
      implements ConfigurationObject {

    /** Returns the same runner in another administrative state. */
    public Runner withState(AdministrativeState state) {
      return new Runner(
          name,
          availabilityZone,
          address,
          model,
          slots,
          cacheTokens,
          linkBytesPerSecond,
          checksFencing,
          state);
    }
  }

  /**
   * A host that keeps KV cache in memory and on disk.
   *
   * @param name unique name
   * @param availabilityZone name of its availability zone
   * @param address {@code host:port} of its HTTP interface
   * @param capacityBytes bytes that it holds
   * @param linkBytesPerSecond bandwidth of its link
   * @param administrativeState whether it takes new work
   */
  record Store(
      String name,
      String availabilityZone,
      String address,
      long capacityBytes,
      long linkBytesPerSecond,
      AdministrativeState administrativeState)
      implements ConfigurationObject {

    /** Returns the same store in another administrative state. */
    public Store withState(AdministrativeState state) {
      return new Store(name, availabilityZone, address, capacityBytes, linkBytesPerSecond, state);
    }
  }

  /**
   * A plain service beside the model engines, such as a booking service.
   *
   * @param name unique name
   * @param availabilityZone name of its availability zone
   * @param address {@code host:port} of its HTTP interface
   * @param operations calls that it offers
   * @param administrativeState whether it takes new work
   */
  record Service(
      String name,
      String availabilityZone,
      String address,
      List<Operation> operations,
      AdministrativeState administrativeState)
      implements ConfigurationObject {
    /** Copies the list so that the record stays immutable. */
    public Service {
      operations = List.copyOf(operations);
    }

    /** Returns the same service in another administrative state. */
    public Service withState(AdministrativeState state) {
      return new Service(name, availabilityZone, address, operations, state);
    }

    /** Finds an operation by its name. */
    public Optional<Operation> operation(String operationName) {
      return operations.stream().filter(o -> o.name().equals(operationName)).findFirst();
    }
  }

  /**
   * One call of a plain service.
   *
   * @param name name within the service
   * @param repeatable whether the call may run more than once
   */
  record Operation(String name, boolean repeatable) {}

  /**
   * A program of an organisation that calls the system.
   *
   * @param name unique name
   * @param organisation name of the organisation that owns it
   * @param availabilityZone name of its availability zone
   */
  record Application(String name, String organisation, String availabilityZone)
      implements ConfigurationObject {}

  /**
   * How requests of one task are treated.
   *
   * @param name unique name
   * @param task value of the task header that selects this rule
   * @param urgency order in which requests are served
   * @param repeatable whether a request of this task may run more than once
   * @param firstTokenWeight cost of a second until the first token
   * @param recomputeWeight cost of a second of prefill that cache could have saved
   * @param deadlineMillis time limit of a request without its own, in milliseconds
   */
  record Rule(
      String name,
      String task,
      Urgency urgency,
      boolean repeatable,
      double firstTokenWeight,
      double recomputeWeight,
      long deadlineMillis)
      implements ConfigurationObject {}

  /** Whether an endpoint takes new work, as the operators want it. */
  enum AdministrativeState {
    /** Takes new work. */
    ACTIVE,
    /** Finishes running work and takes no more. */
    DRAINING
  }

  /** Order in which requests are served. */
  enum Urgency {
    /** Served ahead of ordinary work, with a reserved share. */
    URGENT,
    /** Served in fair shares. */
    ORDINARY
  }
}
