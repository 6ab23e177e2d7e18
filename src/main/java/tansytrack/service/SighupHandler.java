package tansytrack.service;

import java.lang.reflect.Proxy;
import org.tinylog.Logger;

/**
 * SIGHUP, which would end a JVM that has nothing for it. Only sun.misc.Signal can take it; it is
 * called by name, as javac's warning of it cannot be suppressed for one file.
 */
final class SighupHandler {

  private SighupHandler() {}

  /**
   * From now on runs it for each SIGHUP, on a thread that the machine starts for it; false where
   * the signal was ignored when the JVM started, as it leaves that so.
   */
  static boolean install(Runnable what) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object runs =
          Proxy.newProxyInstance(
              SighupHandler.class.getClassLoader(),
              new Class<?>[] {handler},
              (proxy, method, arguments) -> {
                if (method.getName().equals("handle")) {
                  what.run();
                  return null;
                }
                return method.invoke(what, arguments);
              });
      Object before =
          signal
              .getMethod("handle", signal, handler)
              .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), runs);
      return before != handler.getField("SIG_IGN").get(null);
    } catch (ReflectiveOperationException | IllegalArgumentException e) {
      Logger.error(e, "SIGHUP cannot be taken on this machine, and would end the workload manager");
      return true;
    }
  }
}
