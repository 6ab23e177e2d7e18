package tansytrack.ledger.disk;

import java.io.IOException;

/** Called before each step that touches the disk; tests use it to let a step fail. */
@FunctionalInterface
public interface FaultInjector {

  /** Lets no step fail. */
  FaultInjector NONE = step -> {};

  /** Throws if the given step is to fail. */
  void beforeStep(String step) throws IOException;
}
