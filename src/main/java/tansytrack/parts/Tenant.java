package tansytrack.parts;

import java.util.ArrayList;

/** One tenant's queue and where it stands in the turns. */
public final class Tenant<T> {

  public final double weight;
  public double current; // smooth weighted round-robin
  public final ArrayList<T> waiters = new ArrayList<>(); // least time left first

  public Tenant(double weight) {
    this.weight = weight;
  }
}
