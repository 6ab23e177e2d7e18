package tansytrack.parts;

import java.util.ArrayDeque;

/** A single-threaded event loop that delivers messages to the inboxes of actors in turn. */
public final class Loop {

  private final ArrayDeque<Part> ready = new ArrayDeque<>();

  /** A message in an inbox: the work that its actor is to do. */
  public interface Note {
    /** Does the work; called on the loop. */
    void take();
  }

  /** An actor with an inbox; actors communicate by messages only. */
  public abstract static class Part {
    private final Loop loop;
    private final ArrayDeque<Note> inbox = new ArrayDeque<>();

    protected Part(Loop loop) {
      this.loop = loop;
    }

    /** Adds a message to the inbox; it is handled in this actor's turn. */
    public final void put(Note note) {
      inbox.add(note);
      if (inbox.size() == 1) {
        loop.ready.add(this);
      }
    }
  }

  /** Handles one message of each actor in turn until none is left. */
  public void empty() {
    while (!ready.isEmpty()) {
      Part part = ready.poll();
      part.inbox.peek().take();
      part.inbox.poll();
      if (!part.inbox.isEmpty()) {
        ready.add(part);
      }
    }
  }
}
