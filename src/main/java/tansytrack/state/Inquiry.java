package tansytrack.state;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.List;
import tansytrack.wire.Http;
import tansytrack.wire.HttpLine;
import tansytrack.wire.Junk;

/**
 * Asks engines, after a start, about the forwards that the previous run of this manager left
 * unresolved. An engine keeps a query until it has not been polled for 2 s. The engine reports the
 * work of a query that has ended; one that still runs is cancelled, as no client waits for it. The
 * number of concurrent requests is limited, so that a start does not use up the connections that
 * tasks need.
 */
final class Inquiry {

  private static final int AT_A_TIME = 8;
  private static final int MOST = 4096;

  // An engine holds a long poll open for 250 ms at most.
  private static final long WITHIN = 600_000_000L;

  private final Manager manager;
  private final Timers timers;
  private final TaskWatch watch;
  private final ArrayDeque<TaskWatch.Left> left = new ArrayDeque<>();

  Inquiry(Manager manager, Timers timers, TaskWatch watch) {
    this.manager = manager;
    this.timers = timers;
    this.watch = watch;
  }

  /** Asks about the given forwards; of too many, only about the most recent ones. */
  void start(Collection<TaskWatch.Left> all) {
    List<TaskWatch.Left> some = List.copyOf(all);
    left.addAll(some.subList(Math.max(0, some.size() - MOST), some.size()));
    for (int i = 0; i < AT_A_TIME; i++) {
      next();
    }
  }

  private void next() {
    TaskWatch.Left one = left.poll();
    EngineLines engine = one == null ? null : manager.engine(one.engine());
    if (engine != null) {
      new Question(one, engine).ask();
    } else if (one != null) {
      manager.later(this::next); // the engine is no longer listed
    }
  }

  /** The request about one forward. */
  private final class Question implements HttpLine.Caller {
    private final TaskWatch.Left about;
    private final EngineLines engine;
    private final Timers.Timer timer;
    private HttpLine line;
    private boolean over;

    Question(TaskWatch.Left about, EngineLines engine) {
      this.about = about;
      this.engine = engine;
      timer = timers.at(timers.now() + WITHIN, this::late);
    }

    void ask() {
      line = engine.call("GET", "/o/" + about.task() + "/0", this);
      if (line == null) {
        end();
      }
    }

    @Override
    public void answered(Http.Answer answer) throws Junk {
      manager.counters().add("inquiries.answered");
      if (answer.status() == 200) {
        watch.told(about, true, Math.round(answer.number("work-ms", 0) * 1e6));
      } else if (answer.status() == 202) {
        engine.aside(
            "DELETE", "/o/" + about.task(), EngineLines.NOTHING, EngineLines.ANY_TIME, gone -> {});
        watch.told(about, false, 0);
      }
      end();
    }

    @Override
    public void failed(HttpLine.Failure why) {
      end();
    }

    private void late() {
      if (!over && line != null) {
        line.drop();
      }
      end();
    }

    private void end() {
      if (!over) {
        over = true;
        timer.cancel();
        manager.later(Inquiry.this::next);
      }
    }
  }
}
