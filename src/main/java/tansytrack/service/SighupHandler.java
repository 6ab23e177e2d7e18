package tansytrack.service;

import java.lang.reflect.Proxy;
import org.tinylog.Logger;

/**
 * Installs a handler for SIGHUP, which ends a JVM that has none. Only sun.misc.Signal can do so; it
 * is called by reflection, because javac's warning about it cannot be suppressed in one file.
 */
final class SighupHandler {

  private SighupHandler() {}

  /**
   * Runs the handler for each SIGHUP from now on, on a thread that the JVM starts for the signal.
   * Returns false if the signal was ignored when the JVM started, because the JVM leaves it
   * ignored.
   */
  static boolean install(Runnable onSignal) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object proxyHandler =
          Proxy.newProxyInstance(
              SighupHandler.class.getClassLoader(),
              new Class<?>[] {handler},
              (proxy, method, arguments) -> {
                if (method.getName().equals("handle")) {
                  onSignal.run();
                  return null;
                }
                return method.invoke(onSignal, arguments);
              });
      Object previous =
          signal
              .getMethod("handle", signal, handler)
              .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), proxyHandler);
      return previous != handler.getField("SIG_IGN").get(null);
    } catch (ReflectiveOperationException | IllegalArgumentException e) {
      Logger.error(e, "SIGHUP cannot be taken on this machine, and would end the workload manager");
      return true;
    }
  }
}
