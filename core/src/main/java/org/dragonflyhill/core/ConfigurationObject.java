package org.dragonflyhill.core;

import java.util.List;
import java.util.Optional;

/**
 * An object of the configuration, such as a runner or an organisation.
 *
 * <p>All variants are immutable and thread-safe; no component is null.
 */
public sealed interface ConfigurationObject {

  /** Returns the name, unique among objects of the same kind. */
  String name();

  /** Returns the key of this object in the configuration. */
  default ObjectKey key() {
    return new ObjectKey(ObjectKind.of(this), name());
  }

  /**
   * A failure domain: a set of machines that may fail together.
   *
   * @param name unique name
   * @param region name of the region that the availability zone is in
   */
  record AvailabilityZone(String name, String region) implements ConfigurationObject {}

  /**
   * A customer (tenant). Its data is isolated from other customers.
   *
   * @param name unique name
   * @param keyHashes lower-case hexadecimal SHA-256 digests of its API keys (bearer tokens)
   * @param share weight in fair queueing among organisations, at least 1
   * @param tokensPerMinute rate limit in tokens per minute
   */
  record Organisation(String name, List<String> keyHashes, int share, long tokensPerMinute)
      implements ConfigurationObject {
    /** Copies the list to keep the record immutable. */
    public Organisation {
      keyHashes = List.copyOf(keyHashes);
    }
  }

  /**
   * A language model and the version of its weights that new requests use.
   *
   * @param name unique name
   * @param weightVersion version of the weights for new requests
   * @param prefillTokensPerSecond prompt tokens that a runner processes per second
   * @param cacheBytesPerToken bytes of KV cache per token
   */
  record Model(
      String name, String weightVersion, long prefillTokensPerSecond, long cacheBytesPerToken)
      implements ConfigurationObject {}

  /**
   * An inference engine on an accelerator.
   *
   * @param name unique name
   * @param availabilityZone name of its availability zone
   * @param address {@code host:port} of its HTTP interface
   * @param model name of the model to serve
   * @param slots maximum number of concurrent requests
   * @param cacheTokens capacity of its prefix cache in tokens
   * @param linkBytesPerSecond bandwidth of its link to the stores
   * @param checksFencing whether it rejects orders with an outdated fencing token
   * @param administrativeState whether it accepts new work
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

    /** Returns a copy of this runner with the given administrative state. */
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
   * A host that stores KV cache in memory and on disk.
   *
   * @param name unique name
   * @param availabilityZone name of its availability zone
   * @param address {@code host:port} of its HTTP interface
   * @param capacityBytes storage capacity in bytes
   * @param linkBytesPerSecond bandwidth of its network link
   * @param administrativeState whether it accepts new work
   */
  record Store(
      String name,
      String availabilityZone,
      String address,
      long capacityBytes,
      long linkBytesPerSecond,
      AdministrativeState administrativeState)
      implements ConfigurationObject {

    /** Returns a copy of this store with the given administrative state. */
    public Store withState(AdministrativeState state) {
      return new Store(name, availabilityZone, address, capacityBytes, linkBytesPerSecond, state);
    }
  }

  /**
   * A service that runs no model, such as a booking service.
   *
   * @param name unique name
   * @param availabilityZone name of its availability zone
   * @param address {@code host:port} of its HTTP interface
   * @param operations operations that it offers
   * @param administrativeState whether it accepts new work
   */
  record Service(
      String name,
      String availabilityZone,
      String address,
      List<Operation> operations,
      AdministrativeState administrativeState)
      implements ConfigurationObject {
    /** Copies the list to keep the record immutable. */
    public Service {
      operations = List.copyOf(operations);
    }

    /** Returns a copy of this service with the given administrative state. */
    public Service withState(AdministrativeState state) {
      return new Service(name, availabilityZone, address, operations, state);
    }

    /** Returns the operation with the given name, if the service has one. */
    public Optional<Operation> operation(String operationName) {
      return operations.stream().filter(o -> o.name().equals(operationName)).findFirst();
    }
  }

  /**
   * An operation of a service.
   *
   * @param name name, unique within the service
   * @param repeatable whether the operation may run more than once for one request
   */
  record Operation(String name, boolean repeatable) {}

  /**
   * A client program of an organisation.
   *
   * @param name unique name
   * @param organisation name of the organisation that owns it
   * @param availabilityZone name of its availability zone
   */
  record Application(String name, String organisation, String availabilityZone)
      implements ConfigurationObject {}

  /**
   * Defines how the requests of a task are handled.
   *
   * @param name unique name
   * @param task value of the task header that selects this rule
   * @param urgency scheduling class of the requests
   * @param repeatable whether a request of this task may run more than once
   * @param firstTokenWeight placement cost of each second until the first token
   * @param recomputeWeight placement cost of each second of prefill for tokens that are not cached
   * @param deadlineMillis default deadline of a request, in milliseconds after its arrival
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

  /** Whether an endpoint accepts new work, as set by operators. */
  enum AdministrativeState {
    /** Accepts new work. */
    ACTIVE,
    /** Completes running work and accepts no more. */
    DRAINING
  }

  /** Scheduling class of a request. */
  enum Urgency {
    /** Scheduled before ordinary requests, with reserved capacity. */
    URGENT,
    /** Scheduled by fair queueing among organisations. */
    ORDINARY
  }
}
