package tansytrack.ledger.disk;

import java.io.IOException;

/** Told of each step that touches the disk, before it; a test makes any of them fail. */
@FunctionalInterface
public interface FaultInjector {

  FaultInjector NONE = step -> {};

  /** Called before each step on the disk; throws where that step is to fail. */
  void beforeStep(String step) throws IOException;
}
