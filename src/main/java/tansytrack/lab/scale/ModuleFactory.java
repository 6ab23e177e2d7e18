package tansytrack.lab.scale;

import tansytrack.api.Actions;
import tansytrack.api.DecisionModule;
import tansytrack.api.Settings;

/** Creates decision modules, so that the lab depends on their interface only. */
@FunctionalInterface
public interface ModuleFactory {

  /** Creates a module with these settings that acts through these actions. */
  DecisionModule create(Settings settings, Actions actions);
}
