package tansytrack.parts;

import java.util.ArrayList;

/** One tenant's queue and where it stands in the turns. */
public final class Tenant<T> {

  public final double weight;
  public double current; // smooth weighted round-robin
  public final ArrayList<T> waiters = new ArrayList<>(); // least time left first

  /** A tenant without waiters; its weight is its part of the turns. */
  public Tenant(double weight) {
    this.weight = weight;
  }
}
