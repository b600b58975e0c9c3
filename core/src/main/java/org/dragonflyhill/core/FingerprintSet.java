package org.dragonflyhill.core;

import java.util.Arrays;

/**
 * A set of 64-bit fingerprints in one flat array, for indexes of millions of entries.
 *
 * <p>Open addressing with linear probing; the fingerprints must be evenly spread already. Not
 * thread-safe.
 */
final class FingerprintSet {

  private static final int MIN_CAPACITY = 16;

  /** Marks a free place; the fingerprint 0 is kept as 1, which may only cause a wrong hit. */
  private static final long FREE = 0;

  private long[] table = new long[MIN_CAPACITY];
  private int size;

  /** Adds a fingerprint; returns whether it was absent. */
  boolean add(long fingerprint) {
    long key = key(fingerprint);
    int place = find(key);
    if (table[place] == key) {
      return false;
    }
    table[place] = key;
    size++;
    if (size > table.length / 4 * 3) {
      resize(table.length * 2);
    }
    return true;
  }

  /** Removes a fingerprint; returns whether it was present. */
  boolean remove(long fingerprint) {
    int place = find(key(fingerprint));
    if (table[place] == FREE) {
      return false;
    }
    table[place] = FREE;
    size--;
    closeGap(place);
    return true;
  }

  /** Returns whether a fingerprint is present. */
  boolean contains(long fingerprint) {
    return table[find(key(fingerprint))] != FREE;
  }

  /** Returns the number of fingerprints. */
  int size() {
    return size;
  }

  private void closeGap(int freed) {
    int mask = table.length - 1;
    int gap = freed;
    int place = (gap + 1) & mask;
    while (table[place] != FREE) {
      int home = home(table[place]);
      if (((place - home) & mask) >= ((place - gap) & mask)) {
        table[gap] = table[place];
        table[place] = FREE;
        gap = place;
      }
      place = (place + 1) & mask;
    }
  }

  private int find(long key) {
    int place = home(key);
    while (table[place] != FREE && table[place] != key) {
      place = (place + 1) & (table.length - 1);
    }
    return place;
  }

  private int home(long key) {
    return (int) key & (table.length - 1);
  }

  private void resize(int capacity) {
    long[] keys = Arrays.stream(table).filter(key -> key != FREE).toArray();
    table = new long[capacity];
    for (long key : keys) {
      table[find(key)] = key;
    }
  }

  private static long key(long fingerprint) {
    return fingerprint == FREE ? 1 : fingerprint;
  }
}
