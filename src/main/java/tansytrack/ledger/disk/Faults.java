package tansytrack.ledger.disk;

import java.io.IOException;

/** Called before each step that touches the disk; tests use it to let a step fail. */
@FunctionalInterface
public interface Faults {

  /** Lets no step fail. */
  Faults NONE = step -> {};

  /** Throws if the given step is to fail. */
  void before(String step) throws IOException;
}
