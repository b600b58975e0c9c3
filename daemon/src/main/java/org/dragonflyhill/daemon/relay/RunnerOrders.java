package org.dragonflyhill.daemon.relay;

import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.dragonflyhill.core.relay.Endpoint;
import org.dragonflyhill.core.relay.PartDirectory;
import org.dragonflyhill.core.relay.RunnerInfo;

/** Orders to runners. Nothing is null; results are handed over on the event loop. */
public interface RunnerOrders {

  /** Tells a runner to take a weight version once its running requests have ended. */
  void changeWeights(
      RunnerInfo runner,
      String model,
      long version,
      String holder,
      long fencingToken,
      Consumer<Either<String, Outcome>> done);

  /** Asks a runner for its weight versions. */
  void queryWeights(RunnerInfo runner, Consumer<Either<String, Map<String, Long>>> done);

  /** Frees parts in a managed store at once. */
  void freeParts(
      Endpoint store, List<PartDirectory.Key> parts, Consumer<Either<String, Boolean>> done);

  /** What a runner says to an order. */
  enum Outcome {
    /** It carries the order out. */
    ACCEPTED,
    /** It holds already. */
    ALREADY_APPLIED,
    /** Another order is in progress. */
    BUSY,
    /** A newer fencing token was seen. */
    FENCED,
    /** The order is wrong or for another runner. */
    REJECTED
  }
}
