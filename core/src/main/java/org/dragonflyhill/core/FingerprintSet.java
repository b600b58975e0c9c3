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
  private static final long EMPTY = 0;

  private long[] table = new long[MIN_CAPACITY];
  private int size;

  /** Adds a fingerprint; returns whether it was absent. */
  boolean add(long fingerprint) {
    long key = key(fingerprint);
    int slot = find(key);
    if (table[slot] == key) {
      return false;
    }
    table[slot] = key;
    size++;
    if (size > table.length / 4 * 3) {
      resize(table.length * 2);
    }
    return true;
  }

  /** Removes a fingerprint; returns whether it was present. */
  boolean remove(long fingerprint) {
    int slot = find(key(fingerprint));
    if (table[slot] == EMPTY) {
      return false;
    }
    table[slot] = EMPTY;
    size--;
    shiftBack(slot);
    return true;
  }

  /** Returns whether a fingerprint is present. */
  boolean contains(long fingerprint) {
    return table[find(key(fingerprint))] != EMPTY;
  }

  /** Returns the number of fingerprints. */
  int size() {
    return size;
  }

  private void shiftBack(int removedSlot) {
    int mask = table.length - 1;
    int gap = removedSlot;
    int slot = (gap + 1) & mask;
    while (table[slot] != EMPTY) {
      int homeSlot = homeSlot(table[slot]);
      if (((slot - homeSlot) & mask) >= ((slot - gap) & mask)) {
        table[gap] = table[slot];
        table[slot] = EMPTY;
        gap = slot;
      }
      slot = (slot + 1) & mask;
    }
  }

  private int find(long key) {
    int slot = homeSlot(key);
    while (table[slot] != EMPTY && table[slot] != key) {
      slot = (slot + 1) & (table.length - 1);
    }
    return slot;
  }

  private int homeSlot(long key) {
    return (int) key & (table.length - 1);
  }

  private void resize(int capacity) {
    long[] keys = Arrays.stream(table).filter(key -> key != EMPTY).toArray();
    table = new long[capacity];
    for (long key : keys) {
      table[find(key)] = key;
    }
  }

  private static long key(long fingerprint) {
    return fingerprint == EMPTY ? 1 : fingerprint;
  }
}
