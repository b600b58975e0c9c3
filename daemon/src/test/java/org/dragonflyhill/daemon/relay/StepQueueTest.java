package org.dragonflyhill.daemon.relay;

import static org.testng.Assert.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the order of steps, and that the event loop does other work between them. */
public final class StepQueueTest {

  private final AtomicLong nanos = new AtomicLong();
  private final List<String> ran = new CopyOnWriteArrayList<>();
  private MultiThreadIoEventLoopGroup group;
  private EventLoop loop;
  private StepQueue steps;

  /** Starts the event loop. */
  @BeforeMethod
  public void start() {
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    loop = group.next();
    steps = new StepQueue(loop, nanos::get);
    ran.clear();
  }

  /** Shuts the event loop down. */
  @AfterMethod
  public void stop() throws InterruptedException {
    group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).sync();
  }

  private Runnable step(String name, long millis) {
    return () -> {
      ran.add(name);
      nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
    };
  }

  private void runOnLoop(Runnable task) throws Exception {
    loop.submit(task).get();
    // Two turns later all steps of these tests have run.
    loop.schedule(() -> {}, 20, TimeUnit.MILLISECONDS).get();
  }

  /** Guards against requests that are all begun and none of them sent. */
  @Test
  public void stepsOfStartedRequestsComeFirst() throws Exception {
    runOnLoop(
        () -> {
          steps.start(
              () -> {
                ran.add("start 1");
                steps.execute(step("send 1", 0));
              });
          steps.start(step("start 2", 0));
          assertEquals(steps.size(), 2);
        });
    assertEquals(ran, List.of("start 1", "send 1", "start 2"));
    assertEquals(steps.size(), 0);
  }

  /** Guards against callers whose leaving is noticed only after all requests that wait. */
  @Test
  public void otherWorkComesBetweenSlices() throws Exception {
    runOnLoop(
        () -> {
          steps.start(step("a", 30));
          steps.start(step("b", 30));
          steps.start(step("c", 30));
          loop.schedule(() -> ran.add("other work"), 0, TimeUnit.NANOSECONDS);
        });
    assertEquals(ran, List.of("a", "b", "other work", "c"));
  }

  /** Guards against requests that are never handled because the step of another one failed. */
  @Test
  public void failedStepDoesNotStopTheOthers() throws Exception {
    runOnLoop(
        () -> {
          steps.start(
              () -> {
                throw new IllegalStateException("expected by this test");
              });
          steps.start(step("b", 0));
        });
    assertEquals(ran, List.of("b"));
  }
}
