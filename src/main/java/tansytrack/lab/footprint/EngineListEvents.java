package tansytrack.lab.footprint;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** The numbered engine list events for all measured managers, served to concurrent long polls. */
final class EngineListEvents {

  private final List<String> events = new ArrayList<>();

  /** Adds an event, wakes the waiting polls and returns the number of the event. */
  synchronized int publish(String nodes) {
    int number = events.size() + 1;
    events.add("{\"cursor\":" + number + ",\"nodes\":" + nodes + '}');
    notifyAll();
    return number;
  }

  /** All events so far, in the form of {@code known} in the configuration. */
  synchronized String known() {
    return eventsAfter(0);
  }

  /** Waits for events after the given number; the body has an empty list if the time runs out. */
  synchronized byte[] awaitAfter(int resume, long blockMs) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + blockMs * 1_000_000;
    long remainingMs = blockMs;
    while (events.size() <= resume && remainingMs > 0) {
      wait(remainingMs);
      remainingMs = (deadlineNanos - System.nanoTime()) / 1_000_000;
    }
    return eventsAfter(resume).getBytes(StandardCharsets.UTF_8);
  }

  private String eventsAfter(int number) {
    int firstIndex = Math.min(number, events.size());
    return "{\"cursor\":"
        + Math.max(number, events.size())
        + ",\"cmds\":["
        + String.join(",", events.subList(firstIndex, events.size()))
        + "]}";
  }
}
