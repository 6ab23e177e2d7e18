package tansytrack.util;

import java.util.ArrayList;

/** The queue of one tenant, with its state in the smooth weighted round-robin. */
public final class TenantQueue<T> {

  public final double weight;
  public double currentWeight;

  /** The queued tasks, earliest deadline first. */
  public final ArrayList<T> tasks = new ArrayList<>();

  /** Creates an empty queue; the weight is the tenant's share of the turns. */
  public TenantQueue(double weight) {
    this.weight = weight;
  }
}
