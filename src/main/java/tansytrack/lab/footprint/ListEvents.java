package tansytrack.lab.footprint;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** The numbered engine list events for all measured managers, served to concurrent long polls. */
final class ListEvents {

  private final List<String> events = new ArrayList<>();

  /** Adds an event, wakes the waiting polls and returns the number of the event. */
  synchronized int tell(String nodes) {
    int number = events.size() + 1;
    events.add("{\"cursor\":" + number + ",\"nodes\":" + nodes + '}');
    notifyAll();
    return number;
  }

  /** All events so far, in the form of {@code known} in the configuration. */
  synchronized String known() {
    return after(0);
  }

  /** Waits for events after the given number; the body has an empty list if the time runs out. */
  synchronized byte[] next(int resume, long blockMs) throws InterruptedException {
    long until = System.nanoTime() + blockMs * 1_000_000;
    long left = blockMs;
    while (events.size() <= resume && left > 0) {
      wait(left);
      left = (until - System.nanoTime()) / 1_000_000;
    }
    return after(resume).getBytes(StandardCharsets.UTF_8);
  }

  private String after(int number) {
    int from = Math.min(number, events.size());
    return "{\"cursor\":"
        + Math.max(number, events.size())
        + ",\"cmds\":["
        + String.join(",", events.subList(from, events.size()))
        + "]}";
  }
}
