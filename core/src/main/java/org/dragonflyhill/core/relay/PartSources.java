package org.dragonflyhill.core.relay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The sources that hold each shared part of one prompt. They are looked up once for each salt, not
 * for each runner that is considered.
 *
 * <p>Not thread-safe; no argument may be null.
 */
final class PartSources {

  private final PartDirectory directory;
  private final List<Prompt.Part> shared;
  private final Collection<RunnerSelector.Source> sources;
  private final Map<String, List<List<RunnerSelector.Source>>> bySalt = new HashMap<>();

  PartSources(
      PartDirectory directory,
      List<Prompt.Part> shared,
      Collection<RunnerSelector.Source> sources) {
    this.directory = directory;
    this.shared = shared;
    this.sources = sources;
  }

  /** Returns the sources that hold a shared part, given by its position, under a salt. */
  List<RunnerSelector.Source> of(String salt, int position) {
    return bySalt.computeIfAbsent(salt, this::find).get(position);
  }

  private List<List<RunnerSelector.Source>> find(String salt) {
    List<List<RunnerSelector.Source>> found = new ArrayList<>();
    for (Prompt.Part part : shared) {
      List<RunnerSelector.Source> holders = new ArrayList<>();
      for (RunnerSelector.Source source : sources) {
        if (directory.holds(source.endpoint(), salt, part)) {
          holders.add(source);
        }
      }
      found.add(holders);
    }
    return found;
  }
}
