package org.dragonflyhill.standins;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.util.List;
import org.dragonflyhill.standins.slopes.LinearFit;
import org.testng.annotations.Test;

/** Tests of {@link LinearFit}. */
public final class LinearFitTest {

  @Test
  public void findsLineThroughPoints() {
    LinearFit fit =
        LinearFit.of(
            List.of(
                new LinearFit.Point(1, 5), new LinearFit.Point(2, 7), new LinearFit.Point(4, 11)));
    assertEquals(fit.slope(), 2, 1e-9);
    assertEquals(fit.valueAt(10), 23, 1e-9);
  }

  @Test
  public void refusesPointsOfOneSize() {
    List<LinearFit.Point> points = List.of(new LinearFit.Point(1, 5), new LinearFit.Point(1, 7));
    assertThrows(IllegalArgumentException.class, () -> LinearFit.of(points));
  }
}
