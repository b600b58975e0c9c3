package org.dragonflyhill.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** Tests of {@link ConfigurationFold}. */
public final class ConfigurationFoldTest {

  private static final ConfigurationObject ZONE =
      new ConfigurationObject.AvailabilityZone("rancagua", "zona-central");

  private static ChangeRecord upsert(String id, ConfigurationObject object, long base) {
    return new ChangeRecord(
        id, "ana", List.of(new ChangeRecord.Base(object.key(), base)), List.of(object), List.of());
  }

  @Test
  public void acceptsAnObjectThatDidNotExist() {
    var state = ConfigurationFold.apply(ConfigurationState.empty(), 0, upsert("c1", ZONE, -1));
    assertTrue(state.decision("c1").orElseThrow().isAccepted());
    assertEquals(state.version(), 0);
  }

  @Test
  public void rejectsStaleBase() {
    var first = ConfigurationFold.apply(ConfigurationState.empty(), 0, upsert("c1", ZONE, -1));
    var second = ConfigurationFold.apply(first, 1, upsert("c2", ZONE, -1));
    assertFalse(second.decision("c2").orElseThrow().isAccepted());
    assertEquals(second.version(), 0);
  }

  @Test
  public void foldsRepeatedChangeOnce() {
    var first = ConfigurationFold.apply(ConfigurationState.empty(), 0, upsert("c1", ZONE, -1));
    var second = ConfigurationFold.apply(first, 1, upsert("c1", ZONE, -1));
    assertTrue(second.decision("c1").orElseThrow().isAccepted());
    assertEquals(second.offsetOf(ZONE.key()), 0);
  }

  @Test
  public void rejectsReferenceToMissingObject() {
    var application = new ConfigurationObject.Application("app", "nobody", "nowhere");
    var state =
        ConfigurationFold.apply(ConfigurationState.empty(), 0, upsert("c1", application, -1));
    assertEquals(state.decision("c1").orElseThrow().rejections().size(), 2);
    assertTrue(state.objects().isEmpty());
  }
}
