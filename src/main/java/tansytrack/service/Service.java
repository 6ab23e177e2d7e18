package tansytrack.service;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;
import tansytrack.Decide;
import tansytrack.settings.Config;
import tansytrack.settings.Unusable;
import tansytrack.state.Manager;
import tansytrack.state.Timers;
import tansytrack.wire.Json;
import tansytrack.wire.Junk;
import tansytrack.wire.Sockets;

/** One workload manager from start to stop, and the one loop that all its parts run in. */
public final class Service {

    private static final long MS = 1_000_000L;
    private static final long LONGEST_NAP = 1000 * MS;      // of the loop, with nothing due
    private static final int MOST_NOTES = 256;              // taken before timers and decisions have their turn

    private final LinkedBlockingQueue<Runnable> inbox = new LinkedBlockingQueue<>();
    private final Clock clock = new Clock();
    private final Timers timers = new Timers();
    private final Sockets sockets = new Sockets(inbox::add, clock);
    private final Manager manager;
    private final CountDownLatch ended = new CountDownLatch(1);
    private boolean stopped;

    private Service(Config config) throws IOException, Junk {
        timers.now(clock.getAsLong());
        manager = new Manager(config, timers, sockets, Decide::new);
        Channel channel = new Channel(sockets, timers, address(config.channel()), manager);
        channel.take(config.known());
        manager.turn();
        sockets.listen(address(config.listen()), manager::accepted);
        channel.ask();
        Logger.info("{} listens at {}", config.name(), config.listen());
    }

    /** Serves until SIGTERM: 0, 2 for a configuration that cannot be used, 3 after a failure inside. */
    public static int serve(String path) {
        Service service;
        try {
            service = new Service(config(path));
        } catch (IOException | Junk | Unusable e) {
            System.err.println("tansytrack: " + e.getMessage());
            return 2;
        }
        return service.run();
    }

    public static Config config(String path) throws IOException, Junk {
        if (path == null) {
            throw new Unusable("ROUTER_CONFIG names no configuration");
        }
        return Config.of(Json.read(Files.readAllBytes(Path.of(path))));
    }

    static InetSocketAddress address(String text) throws Junk {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port > 0 && port < 65536) {
                return new InetSocketAddress(text.substring(0, colon), port);
            }
        } catch (NumberFormatException e) {
            // said below
        }
        throw new Junk("'" + text + "' is not an address with a port");
    }

    private int run() {
        Thread hook = new Thread(this::terminated, "stop");
        Runtime.getRuntime().addShutdownHook(hook);
        try {
            while (!stopped) {
                turn();
            }
        } catch (RuntimeException | InterruptedException e) {
            Logger.error(e, "a failure inside ends the workload manager");
            Runtime.getRuntime().halt(3);
        }
        report();
        ended.countDown();
        return 0;
    }

    private void turn() throws InterruptedException {
        timers.now(clock.getAsLong());
        Runnable note = inbox.poll(timers.idle(LONGEST_NAP), TimeUnit.NANOSECONDS);
        clock.lead();
        timers.now(clock.getAsLong());
        for (int i = 0; note != null && i < MOST_NOTES; i++) {
            note.run();
            note = inbox.poll();
        }
        if (note != null) {
            note.run();
        }
        timers.run();
        manager.turn();
    }

    /** Runs on the thread that the machine starts for SIGTERM: the program ends when it returns. */
    private void terminated() {
        inbox.add(this::stop);
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void stop() {
        long from = timers.now();
        timers.at(from + 700 * MS, () -> stopWhenIdle(from));
    }

    private void stopWhenIdle(long from) {
        if (manager.openTasks() == 0 || timers.now() - from > 3600 * MS) {
            stopped = true;
        } else {
            timers.at(timers.now() + 20 * MS, () -> stopWhenIdle(from));
        }
    }

    private void report() {
        StringBuilder line = new StringBuilder();
        for (Map.Entry<String, Long> one : manager.counters().all().entrySet()) {
            line.append(' ').append(one.getKey()).append('=').append(one.getValue());
        }
        Logger.info("counters:{}", line);
    }
}
