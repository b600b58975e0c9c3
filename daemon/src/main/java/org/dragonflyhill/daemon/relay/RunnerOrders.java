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
   * Orders a runner to change to a weight version.
   *
   * @param runner runner that is to change
   * @param model model that the weights belong to
   * @param version weight version to load
   * @param mode what happens to the requests that are running
   * @param revision number of orders that the runner had accepted when it was last queried; the
   *     runner refuses the order if it has accepted another since, so that an order that arrives
   *     late cannot undo a newer one
   * @param holder node that gives the order
   * @param fencingToken token of the lease under which the order is given; the runner refuses
   *     orders with an older token than it has seen
   * @param done callback for the result
   */
  void changeWeights(
      RunnerInfo runner,
      String model,
      long version,
      SwitchMode mode,
      long revision,
      String holder,
      long fencingToken,
      Consumer<Either<String, Outcome>> done);

  /** Queries the weights of a runner. */
  void queryWeights(RunnerInfo runner, Consumer<Either<String, WeightsReport>> done);

  /** Deletes parts from a managed store immediately. */
  void freeParts(
      Endpoint store, List<PartDirectory.Key> parts, Consumer<Either<String, Boolean>> done);

  /**
   * A runner's weights.
   *
   * @param versions weight version of each model
   * @param revision number of orders that the runner has accepted
   */
  record WeightsReport(Map<String, Long> versions, long revision) {}

  /** What happens to the running requests of a runner that changes its weights. */
  enum SwitchMode {
    /** They end with the old weights before the change begins. */
    AFTER_RUNNING,
    /** They go on with the new weights, so the change begins at once. */
    IMMEDIATE
  }

  /** What became of an order. */
  enum Outcome {
    /** No connection to the runner could be opened, so it has not received the order. */
    NOT_DELIVERED,
    /** The runner carries the order out. */
    ACCEPTED,
    /** The runner already has the weight version. */
    ALREADY_APPLIED,
    /** The runner is still carrying out another order, or its revision is another one. */
    BUSY,
    /** The runner has seen a newer fencing token. */
    FENCED,
    /** The order is invalid or meant for another runner. */
    REJECTED
  }
}
