package tansytrack.state;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import tansytrack.api.LoadReport;
import tansytrack.api.Outcome;
import tansytrack.wire.Http;
import tansytrack.wire.HttpLine;
import tansytrack.wire.Junk;
import tansytrack.wire.PgSession;

/**
 * One forward: the call that starts it, the questions after it, the pages of its result. All pages are gathered before
 * the first row goes to the client, as a page that is lost with its engine could not be made good afterwards.
 */
final class OpenForward implements HttpLine.Caller {

    static final int COLUMNS = 3;
    private static final int MOST_PAGES = 64;               // a result is 48,000 bytes, a page 6,000 at most
    private static final int MOST_BYTES = 1 << 16;
    // An engine holds a question open for 250 ms at most, and drops a query that was not asked for in 2 s; the rest is
    // for the way there and for clocks.
    private static final long HELD_OPEN = 250_000_000L;
    private static final long MARGIN = 150_000_000L;
    private static final long UNASKED = 2_000_000_000L + HELD_OPEN + MARGIN;

    final OpenTask task;
    final int index;
    final EngineLines engine;
    final long at;
    private final Manager manager;
    private final Timers timers;
    private final String path;
    private final List<byte[]> pages = new ArrayList<>();
    private Timers.Timer timer;
    private HttpLine line;                                  // with the open call
    private int bytes;
    private int pageCount;
    private boolean started;                                // the engine has answered for it
    private boolean overdue;                                // its answer was, when the connection broke
    private boolean asked;                                  // the question is open that follows a broken connection
    private boolean cancelled;
    private boolean over;
    private long askedAt;
    private double cost;
    private double memory;
    private LoadReport report;

    OpenForward(Manager manager, Timers timers, OpenTask task, int index, EngineLines engine) {
        this.manager = manager;
        this.timers = timers;
        this.task = task;
        this.index = index;
        this.engine = engine;
        at = timers.now();
        askedAt = at;
        path = "/o/" + task.id;
    }

    /** Sends it; its end comes later, never within this call. */
    void start(long until) {
        timer = timers.at(until, this::timeOut);
        if (task.answered()) {
            manager.later(() -> end(Outcome.NEVER_SENT));
            return;
        }
        long left = Math.max(1, (until - at) / 1_000_000);
        String fields = "X-Req: " + task.id + "\r\nX-Class: " + task.grade + "\r\nX-Wait-Ms: " + left + "\r\n"
                + (task.memoryMb > 0 ? "Grant-Mb: " + task.memoryMb + "\r\n" : "") + "Rank: " + task.priority + "\r\n";
        line = engine.call("POST", "/o", fields, task.statement, this);
        if (line == null) {
            manager.later(() -> end(Outcome.NEVER_SENT));
        }
    }

    private void ask(String what) {
        askedAt = asked ? askedAt : timers.now();
        line = engine.call("GET", path + what, this);
        if (line == null) {
            manager.later(() -> lost());
        }
    }

    @Override
    public void answered(Http.Answer answer) {
        line = null;
        if (over) {
            return;
        }
        try {
            boolean notRun = answer.field("x-not-run") != null && answer.field("x-not-run").equals("1");
            LoadReport told = manager.report(answer);
            report = told == null ? report : told;
            boolean broke = asked;
            asked = false;
            if (broke && answer.status() != 200 && answer.status() != 202) {
                lost();        // not an error: that would say it runs no more, and a key would not rest
                return;
            }
            switch (answer.status()) {
                case 200 -> page(answer);
                case 202 -> {
                    started = true;
                    ask("/0");
                }
                case 503 -> end(notRun ? Outcome.FULL : Outcome.ERROR);
                case 504 -> end(notRun ? Outcome.NEVER_SENT : Outcome.ERROR);
                default -> end(Outcome.ERROR);
            }
        } catch (Junk e) {
            manager.junk(engine.id, e);
            end(Outcome.ERROR);
        }
    }

    private void page(Http.Answer answer) throws Junk {
        started = true;
        if (pages.isEmpty()) {
            pageCount = (int) answer.number("page-count", 1);
            cost = answer.number("work-ms", 0);
            memory = answer.number("peak-mb", 0);
            if (pageCount < 1 || pageCount > MOST_PAGES) {
                throw new Junk("a result of " + pageCount + " pages");
            }
        } else if (answer.number("page-no", -1) != pages.size()) {
            throw new Junk("another page than asked for");
        }
        bytes += answer.body().length;
        if (bytes > MOST_BYTES || !PgSession.holdsRows(answer.body(), COLUMNS)) {
            throw new Junk("a page that does not hold whole rows, or too large a result");
        }
        pages.add(answer.body());
        if (pages.size() < pageCount) {
            ask("/" + pages.size());
        } else {
            end(Outcome.OK);
        }
    }

    @Override
    public void failed(HttpLine.Failure why) {
        line = null;
        if (over) {
            return;
        }
        if (why != HttpLine.Failure.BROKEN && !started && !asked) {
            end(Outcome.UNREACHED);             // the call itself never left: nothing ran
        } else if (!asked) {
            // The query belongs to no connection: asked again on another one it may still be found.
            asked = true;
            overdue = timers.now() - askedAt > HELD_OPEN + MARGIN;
            ask("/" + pages.size());
        } else if (why == HttpLine.Failure.REFUSED && !overdue) {
            end(Outcome.RESET);                 // its process died just now, and what that ran with it
        } else {
            askedAt = why == HttpLine.Failure.BROKEN ? timers.now() : askedAt;
            lost();
        }
    }

    private void timeOut() {
        if (!over) {
            release();
            end(Outcome.TIME_OUT);
        }
    }

    /**
     * Gives it up at its engine: its end comes once the call for that has gone out whole. Guards against a second
     * forward beside this one: where the call cannot leave, as on a machine that vanished, the forward stays out until
     * its engine must have dropped it for not being asked.
     */
    void cancel() {
        letGo(Outcome.CANCELLED, true);
    }

    /**
     * Its connection broke and it was not found again. Guards against a second copy beside one that a machine still
     * held when it fell silent: DELETE may reach another process than the one that was sent to, so only the time
     * counts. Holds for any restart or cut between; it costs up to 2.4 s from the last question.
     */
    private void lost() {
        letGo(Outcome.RESET, false);
    }

    private void letGo(Outcome outcome, boolean trusted) {
        if (!over && !cancelled) {
            cancelled = true;
            release();
            engine.aside("DELETE", path, EngineLines.NOTHING, gone -> {
                if (gone && trusted) {
                    end(outcome);
                } else {
                    timers.at(askedAt + UNASKED, () -> end(outcome));
                }
            });
        }
    }

    private void release() {
        if (line != null) {
            line.drop();
            line = null;
        }
    }

    void priority(int priority) {
        if (!over && !cancelled) {
            engine.aside("PUT", path, Integer.toString(priority).getBytes(StandardCharsets.US_ASCII), gone -> { });
        }
    }

    private void end(Outcome outcome) {
        if (over) {
            return;
        }
        over = true;
        timer.cancel();
        if (outcome == Outcome.TIME_OUT && !cancelled) {
            engine.aside("DELETE", path, EngineLines.NOTHING, gone -> { });
        }
        manager.ended(this, outcome, Math.round(cost * 1e6), memory, report, outcome == Outcome.OK ? pages : null);
    }
}
