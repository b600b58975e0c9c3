package org.dragonflyhill.daemon.relay;

import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.dragonflyhill.core.relay.Endpoint;
import org.dragonflyhill.core.relay.PartDirectory;
import org.dragonflyhill.core.relay.RunnerInfo;

/**
 * Control interface of runners and stores.
 *
 * <p>No argument or result is null. Callbacks run on the event loop; a left value describes why no
 * result was received.
 */
public interface RunnerOrders {

  /**
   * Orders a runner to change to a weight version once its running requests have ended.
   *
   * @param runner runner that is to change
   * @param model model that the weights belong to
   * @param version weight version to load
   * @param holder node that gives the order
   * @param fencingToken token of the lease under which the order is given; the runner refuses
   *     orders with an older token than it has seen
   * @param done callback for the result
   */
  void changeWeights(
      RunnerInfo runner,
      String model,
      long version,
      String holder,
      long fencingToken,
      Consumer<Either<String, Outcome>> done);

  /** Queries the weight version that a runner has of each of its models. */
  void queryWeights(RunnerInfo runner, Consumer<Either<String, Map<String, Long>>> done);

  /** Deletes parts from a managed store immediately. */
  void freeParts(
      Endpoint store, List<PartDirectory.Key> parts, Consumer<Either<String, Boolean>> done);

  /** A runner's response to an order. */
  enum Outcome {
    /** The runner carries the order out. */
    ACCEPTED,
    /** The runner already has the weight version. */
    ALREADY_APPLIED,
    /** The runner is still carrying out another order. */
    BUSY,
    /** The runner has seen a newer fencing token. */
    FENCED,
    /** The order is invalid or meant for another runner. */
    REJECTED
  }
}
