package tansytrack.lab.scale;

import tansytrack.api.Actions;
import tansytrack.api.DecisionModule;
import tansytrack.api.Settings;

/** Makes a decision module; the lab knows modules only by their interface. */
@FunctionalInterface
public interface ModuleFactory {

  /** A module with these settings, which acts through these actions. */
  DecisionModule create(Settings settings, Actions actions);
}
