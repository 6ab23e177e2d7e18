package tansytrack.util;

import java.util.ArrayDeque;

/**
 * Parts that talk only by putting notes into inboxes, and the one loop that empties them, in turn.
 */
public final class EventLoop {

  private final ArrayDeque<Actor> ready = new ArrayDeque<>();

  /** A note in an inbox: what the part that takes it is to do. */
  public interface Message {
    /** Carries the note out; called on the loop. */
    void handle();
  }

  /** A part with its inbox: notes are put by anybody on the loop and taken in its turn. */
  public abstract static class Actor {
    private final EventLoop loop;
    private final ArrayDeque<Message> inbox = new ArrayDeque<>();

    protected Actor(EventLoop loop) {
      this.loop = loop;
    }

    /** Puts a note into the inbox; it is taken when the loop comes to this part. */
    public final void post(Message note) {
      inbox.add(note);
      if (inbox.size() == 1) {
        loop.ready.add(this);
      }
    }
  }

  /** Takes one note of each part in turn until none is left. */
  public void runUntilIdle() {
    while (!ready.isEmpty()) {
      Actor part = ready.poll();
      part.inbox.peek().handle();
      part.inbox.poll();
      if (!part.inbox.isEmpty()) {
        ready.add(part);
      }
    }
  }
}
