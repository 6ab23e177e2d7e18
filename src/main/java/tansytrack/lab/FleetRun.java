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
  static void checked(String file, Experiment experiment) {
    FleetPlan plan = experiment.getFleet();
    TextFile.bounded(
        file, "managers", experiment.getManagers(), 2, plan.getVirtualTime() ? 1000 : MOST_PROCESSES);
    TextFile.bounded(file, "seconds", experiment.getSeconds(), 1, 3600);
    TextFile.bounded(file, "runs", experiment.getRuns(), 1, 1000);
    TextFile.bounded(file, "fleet.places", plan.getPlaces(), 1, experiment.getManagers());
    TextFile.bounded(file, "fleet.probe_every_ms", plan.getProbeEveryMs(), 100, 10_000);
    weathered(file, "fleet.weather", plan.getWeather());
    for (LinkTrouble fault : plan.getLinksList()) {
      weathered(file, "fleet.links.weather", fault.getWeather());
      ended(file, "fleet.links.from", fault.getFrom(), experiment);
      ended(file, "fleet.links.to", fault.getTo(), experiment);
    }
    checkProcesses(file, experiment);
    checkEngines(file, plan);
    for (Version version : plan.getVersionsList()) {
      ended(file, "fleet.versions.manager", version.getManager(), experiment);
      if (!Files.isReadable(Path.of(version.getJar()))) {
        throw new InvalidInputException(
            file + ": fleet.versions.jar: '" + version.getJar() + "'; allowed: a jar that can be read");
      }
    }
    for (StreamTrouble fault : plan.getStreamsList()) {
      TextFile.bounded(file, "fleet.streams.part", fault.getPart(), 0, 1);
    }
    if (plan.hasLoad()) {
      LoadFile.checked(file, plan.getLoad());
    }
    if (experiment.getClaimsCount() == 0) {
      throw new InvalidInputException(file + ": claims: missing; allowed: one and more");
    }
  }

  private static void checkProcesses(String file, Experiment experiment) {
    for (ProcessTrouble fault : experiment.getFleet().getProcessesList()) {
      if (!fault.getManager().matches("m[0-9]{1,3}")
          || number(fault.getManager()) >= experiment.getManagers()) {
        throw new InvalidInputException(
            file
                + ": fleet.processes.manager: '"
                + fault.getManager()
                + "'; allowed: m0 to m"
                + (experiment.getManagers() - 1));
      }
      TextFile.bounded(
          file,
          "fleet.processes.for_ms",
          fault.getForMs(),
          fault.getKind() == ProcessTrouble.Kind.STOP ? 1 : 0,
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
    for (EngineTrouble fault : plan.getEngineTroublesList()) {
      if (!fault.getEngine().matches("e[0-9]{1,2}") || number(fault.getEngine()) >= plan.getEngines()) {
        throw new InvalidInputException(
            file
                + ": fleet.engine_troubles.engine: '"
                + fault.getEngine()
                + "'; allowed: e0 to e"
                + (plan.getEngines() - 1));
      }
    }
  }

  private static int number(String name) {
    return Integer.parseInt(name.substring(1));
  }

  private static void ended(String file, String field, String end, Experiment experiment) {
    boolean manager = end.matches("m[0-9]{1,3}") && number(end) < experiment.getManagers();
    boolean zone =
        end.matches("place-[0-9]{1,3}")
            && Integer.parseInt(end.substring(6)) < experiment.getFleet().getPlaces();
    if (!manager && !zone && !end.equals("*")) {
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
    for (LinkTrouble fault : plan.getLinksList()) {
      links.add(
          new FaultSchedule.LinkFault(
              fault.getAtMs() * MS,
              fault.getForMs() * MS,
              new FaultSchedule.Endpoint(fault.getFrom()),
              new FaultSchedule.Endpoint(fault.getTo()),
              fault.getBothWays(),
              weather(fault.getWeather())));
    }
    List<FaultSchedule.ProcessFault> processes = new ArrayList<>();
    for (ProcessTrouble fault : plan.getProcessesList()) {
      processes.add(
          new FaultSchedule.ProcessFault(
              fault.getAtMs() * MS,
              fault.getForMs() * MS,
              fault.getManager(),
              FaultSchedule.ProcessFaultKind.valueOf(fault.getKind().name())));
    }
    List<FaultSchedule.StreamFault> streams = new ArrayList<>();
    for (StreamTrouble fault : plan.getStreamsList()) {
      streams.add(
          new FaultSchedule.StreamFault(
              fault.getAtMs() * MS,
              fault.getForMs() * MS,
              new FaultSchedule.Endpoint(fault.getFrom()),
              new FaultSchedule.Endpoint(fault.getTo()),
              FaultSchedule.StreamFaultKind.valueOf(fault.getKind().name()),
              fault.getDelayMs() * MS,
              fault.getPart()));
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
    MembershipSimulation simulation =
        new MembershipSimulation(
            MembershipConfig.defaults(seeds, experiment.getFleet().getProbeEveryMs() * MS, 16_384),
            seed);
    for (int i = 0; i < names.size(); i++) {
      simulation.node(names.get(i), names.get(i), places.get(i));
    }
    names.forEach(simulation::start);
    simulation.injectFaults(faults);
    simulation.runUntil(experiment.getSeconds() * 1000L * MS);
    return new MembershipMetrics(names, faults, simulation.observations(), simulation.now()).compute();
  }

  private Map<String, Double> real() throws IOException, InterruptedException {
    traffic = new FleetTraffic(experiment.getFleet(), faults, names, places, seed);
    launch();
    Instant start = Instant.now();
    relays.begin();
    long startNanos = System.nanoTime();
    traffic.begin(managers.stream().map(manager -> manager.listen).toList(), startNanos);
    long end = playFaults(startNanos);
    Map<String, Double> trafficFigures = traffic.figures(folder);
    List<MembershipSimulation.Observation> observations = new ArrayList<>();
    for (ManagerProcess manager : managers) {
      observations.addAll(seen(manager, start));
    }
    Map<String, Double> figures = new MembershipMetrics(names, faults, observations, end).compute();
    figures.putAll(trafficFigures);
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
    for (ManagerProcess manager : managers) {
      manager.launch();
    }
    for (ManagerProcess manager : managers) {
      manager.listens();
    }
  }

  /** Injects the process faults; returns the duration of the run, in nanoseconds. */
  private long playFaults(long startNanos) throws IOException, InterruptedException {
    for (FaultSchedule.ProcessFault fault : faults.processes()) {
      Thread thread = StandInEngine.thread(() -> trouble(fault, startNanos));
      threads.add(thread);
      thread.start();
    }
    Thread.sleep(experiment.getSeconds() * 1000L);
    long durationNanos = System.nanoTime() - startNanos;
    for (Thread thread : threads) {
      thread.join();
    }
    if (failure != null) {
      throw failure;
    }
    return durationNanos;
  }

  /** The jar that a manager runs from; null: this program. */
  private String jar(String name) {
    String jar = null;
    for (Version version : experiment.getFleet().getVersionsList()) {
      jar = version.getManager().equals("*") || version.getManager().equals(name) ? version.getJar() : jar;
    }
    return jar;
  }

  private String operator(int index, InetSocketAddress address) {
    FleetPlan plan = experiment.getFleet();
    StringBuilder text =
        new StringBuilder(
            "log { form: JSON_LINES }\nfleet {\n  place: \""
                + places.get(index)
                + "\"\n  address: \""
                + address.getAddress().getHostAddress()
                + ':'
                + address.getPort()
                + "\"\n  probe_every_ms: "
                + plan.getProbeEveryMs()
                + "\n  settle_s: "
                + Math.max(1, plan.getSettleS())
                + '\n');
    for (int i = 0; i < names.size(); i++) {
      if (i != index) {
        text.append("  peers { name: \"")
            .append(names.get(i))
            .append("\" address: \"")
            .append(relays.address(index, i))
            .append("\" seed: ")
            .append(i < 3)
            .append(" }\n");
      }
    }
    return text.append("}\n").toString();
  }

  private void trouble(FaultSchedule.ProcessFault fault, long startNanos) {
    ManagerProcess manager = managers.get(number(fault.member()));
    try {
      FleetTraffic.sleepUntil(startNanos + fault.startNanos());
      switch (fault.kind()) {
        case STOP -> {
          manager.signal("STOP");
          FleetTraffic.sleepUntil(startNanos + fault.startNanos() + fault.durationNanos());
          manager.signal("CONT");
        }
        case KILL, END -> {
          if (fault.kind() == FaultSchedule.ProcessFaultKind.KILL) {
            manager.kill();
          } else {
            manager.stop();
          }
          if (fault.durationNanos() > 0) {
            FleetTraffic.sleepUntil(startNanos + fault.startNanos() + fault.durationNanos());
            manager.launch();
            traffic.restarted(manager.name);
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
  private static List<MembershipSimulation.Observation> seen(ManagerProcess manager, Instant start)
      throws IOException {
    List<MembershipSimulation.Observation> observations = new ArrayList<>();
    for (String line : manager.lines()) {
      if (line.contains("\"event\":\"fleet.member\"")) {
        try {
          Map<String, Object> event =
              Json.asObject(Json.parse(line.getBytes(StandardCharsets.UTF_8)), "a line");
          long at =
              java.time.Duration.between(
                      start, Instant.parse(Json.asString(event.get("time"), "time")))
                  .toNanos();
          observations.add(
              new MembershipSimulation.Observation(
                  Math.max(0, at),
                  manager.name,
                  Json.asString(event.get("member"), "member"),
                  0,
                  MemberStatus.valueOf(
                      Json.asString(event.get("standing"), "standing").toUpperCase(Locale.ROOT))));
        } catch (ProtocolException e) {
          throw new IOException(manager.name + " logged a line that cannot be read: " + line, e);
        }
      }
    }
    return observations;
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
