package tansytrack.parts;

import java.util.ArrayDeque;

/**
 * Parts that talk only by putting notes into inboxes, and the one loop that empties them, in turn.
 */
public final class Loop {

  private final ArrayDeque<Part> ready = new ArrayDeque<>();

  /** A note in an inbox: what the part that takes it is to do. */
  public interface Note {
    void take();
  }

  public abstract static class Part {
    private final Loop loop;
    private final ArrayDeque<Note> inbox = new ArrayDeque<>();

    protected Part(Loop loop) {
      this.loop = loop;
    }

    public final void put(Note note) {
      inbox.add(note);
      if (inbox.size() == 1) {
        loop.ready.add(this);
      }
    }
  }

  /** Takes one note of each part in turn until none is left. */
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
