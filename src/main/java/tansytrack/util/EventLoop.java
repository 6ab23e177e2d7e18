package tansytrack.util;

import java.util.ArrayDeque;

/** A single-threaded event loop that delivers messages to the inboxes of actors in turn. */
public final class EventLoop {

  private final ArrayDeque<Actor> ready = new ArrayDeque<>();

  /** A message in an inbox: the work that its actor is to do. */
  public interface Message {
    /** Does the work; called on the loop. */
    void handle();
  }

  /** An actor with an inbox; actors communicate by messages only. */
  public abstract static class Actor {
    private final EventLoop loop;
    private final ArrayDeque<Message> inbox = new ArrayDeque<>();

    protected Actor(EventLoop loop) {
      this.loop = loop;
    }

    /** Adds a message to the inbox; it is handled in this actor's turn. */
    public final void post(Message message) {
      inbox.add(message);
      if (inbox.size() == 1) {
        loop.ready.add(this);
      }
    }
  }

  /** Handles one message of each actor in turn until none is left. */
  public void runUntilIdle() {
    while (!ready.isEmpty()) {
      Actor actor = ready.poll();
      actor.inbox.peek().handle();
      actor.inbox.poll();
      if (!actor.inbox.isEmpty()) {
        ready.add(actor);
      }
    }
  }
}
