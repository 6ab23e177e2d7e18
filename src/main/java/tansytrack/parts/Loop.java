package tansytrack.parts;

import java.util.ArrayDeque;

/**
 * Parts that talk only by putting notes into inboxes, and the one loop that empties them, in turn.
 */
public final class Loop {

  private final ArrayDeque<Part> ready = new ArrayDeque<>();

  /** A note in an inbox: what the part that takes it is to do. */
  public interface Note {
    /** Carries the note out; called on the loop. */
    void take();
  }

  /** A part with its inbox: notes are put by anybody on the loop and taken in its turn. */
  public abstract static class Part {
    private final Loop loop;
    private final ArrayDeque<Note> inbox = new ArrayDeque<>();

    protected Part(Loop loop) {
      this.loop = loop;
    }

    /** Puts a note into the inbox; it is taken when the loop comes to this part. */
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
