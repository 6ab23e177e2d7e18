/** Daemon threads for the stand-ins. */
final class Threads {
  private Threads() {}

  static Thread start(Runnable run) {
    Thread thread = new Thread(null, run, "stand-in", 1 << 18);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
