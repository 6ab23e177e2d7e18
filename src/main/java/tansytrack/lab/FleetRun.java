package tansytrack.lab;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import tansytrack.fleet.MemberStatus;
import tansytrack.fleet.MembershipConfig;
import tansytrack.lab.proto.EngineTrouble;
import tansytrack.lab.proto.Experiment;
import tansytrack.lab.proto.FleetPlan;
import tansytrack.lab.proto.LinkTrouble;
import tansytrack.lab.proto.LinkWeather;
import tansytrack.lab.proto.ProcessTrouble;
import tansytrack.lab.proto.StreamTrouble;
import tansytrack.lab.proto.Version;
import tansytrack.lab.simulation.FaultSchedule;
import tansytrack.lab.simulation.LinkConditions;
import tansytrack.lab.simulation.MembershipMetrics;
import tansytrack.lab.simulation.MembershipSimulation;
import tansytrack.settings.InvalidInputException;
import tansytrack.wire.Json;
import tansytrack.wire.ProtocolException;

/**
 * One run of an experiment on a fleet, under a fault schedule: managers as processes, or the
 * membership protocol alone in virtual time. Its figures come from the state changes that the
 * managers logged of one another.
 */
final class FleetRun implements AutoCloseable {

  private static final long MS = 1_000_000L;
  private static final int MOST_PROCESSES = 200;

  private final Experiment experiment;
  private final long seed;
  private final Path folder;
  private final FaultSchedule faults;
  private final List<String> names = new ArrayList<>();
  private final List<String> places = new ArrayList<>();
  private final List<ManagerProcess> managers = new ArrayList<>();
  private final List<Thread> threads = new ArrayList<>();
  private FleetTraffic traffic;
  private DatagramRelays relays;
  private volatile IOException failure;

  FleetRun(Experiment experiment, long seed, Path folder) {
    this.experiment = experiment;
    this.seed = seed;
    this.folder = folder;
    faults = faults(experiment.getFleet());
    for (int i = 0; i < experiment.getManagers(); i++) {
      names.add("m" + i);
      places.add("place-" + i % Math.max(1, experiment.getFleet().getPlaces()));
    }
  }

  /** Throws an exception that names the first field that cannot be used. */
  static void checked(String file, Experiment read) {
    FleetPlan plan = read.getFleet();
    TextFile.bounded(
        file, "managers", read.getManagers(), 2, plan.getVirtualTime() ? 1000 : MOST_PROCESSES);
    TextFile.bounded(file, "seconds", read.getSeconds(), 1, 3600);
    TextFile.bounded(file, "runs", read.getRuns(), 1, 1000);
    TextFile.bounded(file, "fleet.places", plan.getPlaces(), 1, read.getManagers());
    TextFile.bounded(file, "fleet.probe_every_ms", plan.getProbeEveryMs(), 100, 10_000);
    weathered(file, "fleet.weather", plan.getWeather());
    for (LinkTrouble one : plan.getLinksList()) {
      weathered(file, "fleet.links.weather", one.getWeather());
      ended(file, "fleet.links.from", one.getFrom(), read);
      ended(file, "fleet.links.to", one.getTo(), read);
    }
    checkProcesses(file, read);
    checkEngines(file, plan);
    for (Version one : plan.getVersionsList()) {
      ended(file, "fleet.versions.manager", one.getManager(), read);
      if (!Files.isReadable(Path.of(one.getJar()))) {
        throw new InvalidInputException(
            file + ": fleet.versions.jar: '" + one.getJar() + "'; allowed: a jar that can be read");
      }
    }
    for (StreamTrouble one : plan.getStreamsList()) {
      TextFile.bounded(file, "fleet.streams.part", one.getPart(), 0, 1);
    }
    if (plan.hasLoad()) {
      LoadFile.checked(file, plan.getLoad());
    }
    if (read.getClaimsCount() == 0) {
      throw new InvalidInputException(file + ": claims: missing; allowed: one and more");
    }
  }

  private static void checkProcesses(String file, Experiment read) {
    for (ProcessTrouble one : read.getFleet().getProcessesList()) {
      if (!one.getManager().matches("m[0-9]{1,3}")
          || number(one.getManager()) >= read.getManagers()) {
        throw new InvalidInputException(
            file
                + ": fleet.processes.manager: '"
                + one.getManager()
                + "'; allowed: m0 to m"
                + (read.getManagers() - 1));
      }
      TextFile.bounded(
          file,
          "fleet.processes.for_ms",
          one.getForMs(),
          one.getKind() == ProcessTrouble.Kind.STOP ? 1 : 0,
          1e9);
    }
  }

  private static void checkEngines(String file, FleetPlan plan) {
    TextFile.bounded(file, "fleet.engines", plan.getEngines(), 0, 64);
    if (plan.getEngines() > 0) {
      TextFile.bounded(file, "fleet.engine.cores", plan.getEngine().getCores(), 0.1, 1000);
      TextFile.bounded(
          file, "fleet.engine.most_queries", plan.getEngine().getMostQueries(), 1, 100_000);
    }
    for (EngineTrouble one : plan.getEngineTroublesList()) {
      if (!one.getEngine().matches("e[0-9]{1,2}") || number(one.getEngine()) >= plan.getEngines()) {
        throw new InvalidInputException(
            file
                + ": fleet.engine_troubles.engine: '"
                + one.getEngine()
                + "'; allowed: e0 to e"
                + (plan.getEngines() - 1));
      }
    }
  }

  private static int number(String name) {
    return Integer.parseInt(name.substring(1));
  }

  private static void ended(String file, String field, String end, Experiment read) {
    boolean manager = end.matches("m[0-9]{1,3}") && number(end) < read.getManagers();
    boolean place =
        end.matches("place-[0-9]{1,3}")
            && Integer.parseInt(end.substring(6)) < read.getFleet().getPlaces();
    if (!manager && !place && !end.equals("*")) {
      throw new InvalidInputException(
          file
              + ": "
              + field
              + ": '"
              + end
              + "'; allowed: a manager (m0), a zone (place-0) or *");
    }
  }

  private static void weathered(String file, String field, LinkWeather weather) {
    TextFile.bounded(file, field + ".loss", weather.getLoss(), 0, 1);
    TextFile.bounded(file, field + ".doubled", weather.getDoubled(), 0, 1);
    TextFile.bounded(file, field + ".burst", weather.getBurst(), 0, 1000);
    TextFile.bounded(file, field + ".least_us", weather.getLeastUs(), 0, 10_000_000);
    TextFile.bounded(file, field + ".spread_us", weather.getSpreadUs(), 0, 10_000_000);
  }

  private static FaultSchedule faults(FleetPlan plan) {
    List<FaultSchedule.LinkFault> links = new ArrayList<>();
    for (LinkTrouble one : plan.getLinksList()) {
      links.add(
          new FaultSchedule.LinkFault(
              one.getAtMs() * MS,
              one.getForMs() * MS,
              new FaultSchedule.Endpoint(one.getFrom()),
              new FaultSchedule.Endpoint(one.getTo()),
              one.getBothWays(),
              weather(one.getWeather())));
    }
    List<FaultSchedule.ProcessFault> processes = new ArrayList<>();
    for (ProcessTrouble one : plan.getProcessesList()) {
      processes.add(
          new FaultSchedule.ProcessFault(
              one.getAtMs() * MS,
              one.getForMs() * MS,
              one.getManager(),
              FaultSchedule.ProcessFaultKind.valueOf(one.getKind().name())));
    }
    List<FaultSchedule.StreamFault> streams = new ArrayList<>();
    for (StreamTrouble one : plan.getStreamsList()) {
      streams.add(
          new FaultSchedule.StreamFault(
              one.getAtMs() * MS,
              one.getForMs() * MS,
              new FaultSchedule.Endpoint(one.getFrom()),
              new FaultSchedule.Endpoint(one.getTo()),
              FaultSchedule.StreamFaultKind.valueOf(one.getKind().name()),
              one.getDelayMs() * MS,
              one.getPart()));
    }
    return new FaultSchedule(weather(plan.getWeather()), links, processes, streams);
  }

  private static LinkConditions weather(LinkWeather from) {
    return new LinkConditions(
        from.getLoss(),
        from.getBurst(),
        from.getDoubled(),
        from.getLeastUs() * 1000L,
        from.getSpreadUs() * 1000L);
  }

  /** Runs the experiment and returns its figures by name. */
  Map<String, Double> play() throws IOException, InterruptedException {
    return experiment.getFleet().getVirtualTime() ? virtual() : real();
  }

  private Map<String, Double> virtual() {
    List<String> seeds = names.subList(0, Math.min(3, names.size()));
    MembershipSimulation world =
        new MembershipSimulation(
            MembershipConfig.defaults(seeds, experiment.getFleet().getProbeEveryMs() * MS, 16_384),
            seed);
    for (int i = 0; i < names.size(); i++) {
      world.node(names.get(i), names.get(i), places.get(i));
    }
    names.forEach(world::start);
    world.injectFaults(faults);
    world.runUntil(experiment.getSeconds() * 1000L * MS);
    return new MembershipMetrics(names, faults, world.observations(), world.now()).compute();
  }

  private Map<String, Double> real() throws IOException, InterruptedException {
    traffic = new FleetTraffic(experiment.getFleet(), faults, names, places, seed);
    launch();
    Instant start = Instant.now();
    relays.begin();
    long from = System.nanoTime();
    traffic.begin(managers.stream().map(one -> one.listen).toList(), from);
    long end = playFaults(from);
    Map<String, Double> served = traffic.figures(folder);
    List<MembershipSimulation.Observation> seen = new ArrayList<>();
    for (ManagerProcess one : managers) {
      seen.addAll(seen(one, start));
    }
    Map<String, Double> figures = new MembershipMetrics(names, faults, seen, end).compute();
    figures.putAll(served);
    figures.put("datagrams.forwarded", (double) relays.forwarded());
    figures.put("datagrams.lost", (double) relays.lost());
    return figures;
  }

  /** Starts all managers, each behind its relays, and waits until they listen. */
  private void launch() throws IOException, InterruptedException {
    List<InetSocketAddress> addresses = new ArrayList<>();
    for (int i = 0; i < names.size(); i++) {
      try (DatagramSocket free =
          new DatagramSocket(0, InetAddress.getByName("127.20.0." + (i + 1)))) {
        addresses.add(new InetSocketAddress(free.getLocalAddress(), free.getLocalPort()));
      }
    }
    relays = new DatagramRelays(faults, names, places, addresses, seed);
    for (int i = 0; i < names.size(); i++) {
      managers.add(
          new ManagerProcess(
              names.get(i),
              folder.resolve(names.get(i)),
              traffic.channel(i),
              traffic.known(i),
              "127.20.0." + (i + 1),
              operator(i, addresses.get(i)),
              ManagerProcess.settings(
                  names.size(), places.get(i), experiment.getFleet().getEngine())));
      managers.get(i).version(jar(names.get(i)));
    }
    for (ManagerProcess one : managers) {
      one.launch();
    }
    for (ManagerProcess one : managers) {
      one.listens();
    }
  }

  /** Injects the process faults; returns the duration of the run, in nanoseconds. */
  private long playFaults(long from) throws IOException, InterruptedException {
    for (FaultSchedule.ProcessFault one : faults.processes()) {
      Thread thread = StandInEngine.thread(() -> trouble(one, from));
      threads.add(thread);
      thread.start();
    }
    Thread.sleep(experiment.getSeconds() * 1000L);
    long lasted = System.nanoTime() - from;
    for (Thread one : threads) {
      one.join();
    }
    if (failure != null) {
      throw failure;
    }
    return lasted;
  }

  /** The jar that a manager runs from; null: this program. */
  private String jar(String name) {
    String jar = null;
    for (Version one : experiment.getFleet().getVersionsList()) {
      jar = one.getManager().equals("*") || one.getManager().equals(name) ? one.getJar() : jar;
    }
    return jar;
  }

  private String operator(int which, InetSocketAddress own) {
    FleetPlan plan = experiment.getFleet();
    StringBuilder text =
        new StringBuilder(
            "log { form: JSON_LINES }\nfleet {\n  place: \""
                + places.get(which)
                + "\"\n  address: \""
                + own.getAddress().getHostAddress()
                + ':'
                + own.getPort()
                + "\"\n  probe_every_ms: "
                + plan.getProbeEveryMs()
                + "\n  settle_s: "
                + Math.max(1, plan.getSettleS())
                + '\n');
    for (int i = 0; i < names.size(); i++) {
      if (i != which) {
        text.append("  peers { name: \"")
            .append(names.get(i))
            .append("\" address: \"")
            .append(relays.address(which, i))
            .append("\" seed: ")
            .append(i < 3)
            .append(" }\n");
      }
    }
    return text.append("}\n").toString();
  }

  private void trouble(FaultSchedule.ProcessFault what, long from) {
    ManagerProcess of = managers.get(number(what.member()));
    try {
      FleetTraffic.sleepUntil(from + what.startNanos());
      switch (what.kind()) {
        case STOP -> {
          of.signal("STOP");
          FleetTraffic.sleepUntil(from + what.startNanos() + what.durationNanos());
          of.signal("CONT");
        }
        case KILL, END -> {
          if (what.kind() == FaultSchedule.ProcessFaultKind.KILL) {
            of.kill();
          } else {
            of.stop();
          }
          if (what.durationNanos() > 0) {
            FleetTraffic.sleepUntil(from + what.startNanos() + what.durationNanos());
            of.launch();
            traffic.restarted(of.name);
          }
        }
        default -> throw new IllegalStateException();
      }
    } catch (IOException e) {
      failure = e;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * The state changes of other members that a manager logged, in nanoseconds from the start of the
   * schedule; earlier ones have the time 0.
   */
  private static List<MembershipSimulation.Observation> seen(ManagerProcess by, Instant start)
      throws IOException {
    List<MembershipSimulation.Observation> all = new ArrayList<>();
    for (String line : by.lines()) {
      if (line.contains("\"event\":\"fleet.member\"")) {
        try {
          Map<String, Object> one =
              Json.asObject(Json.parse(line.getBytes(StandardCharsets.UTF_8)), "a line");
          long at =
              java.time.Duration.between(
                      start, Instant.parse(Json.asString(one.get("time"), "time")))
                  .toNanos();
          all.add(
              new MembershipSimulation.Observation(
                  Math.max(0, at),
                  by.name,
                  Json.asString(one.get("member"), "member"),
                  0,
                  MemberStatus.valueOf(
                      Json.asString(one.get("standing"), "standing").toUpperCase(Locale.ROOT))));
        } catch (ProtocolException e) {
          throw new IOException(by.name + " logged a line that cannot be read: " + line, e);
        }
      }
    }
    return all;
  }

  @Override
  public void close() throws IOException {
    managers.forEach(ManagerProcess::close);
    if (relays != null) {
      relays.close();
    }
    if (traffic != null) {
      traffic.close();
    }
  }
}
