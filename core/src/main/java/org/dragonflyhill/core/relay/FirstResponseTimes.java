package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.HdrHistogram.Histogram;

/**
 * Recent times to first response of one kind of request, from which the time after which a second
 * copy of a request is sent is derived.
 *
 * <p>Each time is recorded relative to the expected time, so that a large prompt does not count as
 * slow merely for its size. Without an expectation, the expected time is zero.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class FirstResponseTimes {

  /** Length of the sliding window. A small node receives about one request per second and route. */
  public static final Duration WINDOW = Duration.ofSeconds(60);

  /** Minimum number of times in the window; with fewer, the quantile is one of the two longest. */
  public static final int MIN_SAMPLES = 40;

  /** Share of the requests that are answered before a second copy would be sent. */
  public static final double QUANTILE = 0.95;

  /** Minimum delay; a shorter one would send copies because of ordinary latency jitter. */
  public static final Duration MIN_DELAY = Duration.ofMillis(50);

  private static final int SLICES = 6;

  /** Maximum age of the calculated quantile, which all requests of the kind use. */
  private static final Duration REFRESH_INTERVAL = Duration.ofMillis(500);

  /**
   * Constant part of each time, in seconds. It is added on both sides of the ratio of measured to
   * expected times, so that a very short expected time does not yield a very large ratio.
   */
  private static final double FIXED_SECONDS = 0.05;

  /** Units per 1 of the recorded ratio. */
  private static final double RATIO_UNITS = 1_000;

  private static final long MAX_RATIO_UNITS = 1_000_000;
  private static final int SIGNIFICANT_DIGITS = 2;
  private static final double NANOS_PER_SECOND = 1e9;

  private final Deque<Slice> slices = new ArrayDeque<>();
  private Optional<Double> ratio = Optional.empty();
  private Instant ratioUntil = Instant.MIN;

  /**
   * Records a time to first response. For a request that was cancelled since another copy was
   * answered first, it is the time until then: the quantile is below it in any case.
   *
   * @param expected expected time, zero if unknown
   * @param actual measured time
   * @param now present time
   */
  public void record(Duration expected, Duration actual, Instant now) {
    double units = (seconds(actual) + FIXED_SECONDS) / (seconds(expected) + FIXED_SECONDS);
    long value = Math.clamp(Math.round(units * RATIO_UNITS), 1, MAX_RATIO_UNITS);
    currentSlice(now).histogram.recordValue(value);
  }

  /**
   * Returns the time after which a request is later than most, empty with too few recent times.
   *
   * @param expected expected time of the request, zero if unknown
   * @param now present time
   */
  public Optional<Duration> delay(Duration expected, Instant now) {
    if (!now.isBefore(ratioUntil)) {
      ratio = calculateRatio(now);
      ratioUntil = now.plus(REFRESH_INTERVAL);
    }
    return ratio.map(known -> scale(known, expected));
  }

  private static Duration scale(double ratio, Duration expected) {
    double delay = ratio * (seconds(expected) + FIXED_SECONDS) - FIXED_SECONDS;
    Duration scaled = Duration.ofNanos((long) (delay * NANOS_PER_SECOND));
    return scaled.compareTo(MIN_DELAY) > 0 ? scaled : MIN_DELAY;
  }

  private Optional<Double> calculateRatio(Instant now) {
    expire(now);
    Histogram sum = newHistogram();
    slices.forEach(slice -> sum.add(slice.histogram));
    return sum.getTotalCount() < MIN_SAMPLES
        ? Optional.empty()
        : Optional.of(sum.getValueAtPercentile(QUANTILE * 100) / RATIO_UNITS);
  }

  private Slice currentSlice(Instant now) {
    expire(now);
    Slice last = slices.peekLast();
    if (last == null || !now.isBefore(last.start.plus(WINDOW.dividedBy(SLICES)))) {
      last = new Slice(now, newHistogram());
      slices.addLast(last);
    }
    return last;
  }

  private void expire(Instant now) {
    while (!slices.isEmpty() && !now.isBefore(slices.peekFirst().start.plus(WINDOW))) {
      slices.removeFirst();
    }
  }

  private static Histogram newHistogram() {
    return new Histogram(MAX_RATIO_UNITS, SIGNIFICANT_DIGITS);
  }

  private static double seconds(Duration time) {
    return time.toNanos() / NANOS_PER_SECOND;
  }

  private record Slice(Instant start, Histogram histogram) {}
}
