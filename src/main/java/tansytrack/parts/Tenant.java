package tansytrack.parts;

import java.util.ArrayList;

/** The queue of one tenant, with its state in the smooth weighted round-robin. */
public final class Tenant<T> {

  public final double weight;
  public double current;

  /** The queued tasks, earliest deadline first. */
  public final ArrayList<T> waiters = new ArrayList<>();

  /** Creates an empty queue; the weight is the tenant's share of the turns. */
  public Tenant(double weight) {
    this.weight = weight;
  }
}
