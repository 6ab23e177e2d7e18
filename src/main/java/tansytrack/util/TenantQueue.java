package tansytrack.util;

import java.util.ArrayList;

/** One tenant's queue and where it stands in the turns. */
public final class TenantQueue<T> {

  public final double weight;
  public double currentWeight; // smooth weighted round-robin
  public final ArrayList<T> waiters = new ArrayList<>(); // least time left first

  /** A tenant without waiters; its weight is its part of the turns. */
  public TenantQueue(double weight) {
    this.weight = weight;
  }
}
