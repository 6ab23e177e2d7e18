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

  private static final long NANOS_PER_MS = 1_000_000L;
  private static final int MAX_PROCESSES = 200;

  private final Experiment experiment;
  private final long seed;
  private final Path folder;
  private final FaultSchedule faults;
  private final List<String> names = new ArrayList<>();
  private final List<String> zones = new ArrayList<>();
  private final List<ManagerProcess> managers = new ArrayList<>();
  private final List<Thread> threads = new ArrayList<>();
  private FleetTraffic traffic;
  private DatagramRelays relays;
  private volatile IOException failure;

  FleetRun(Experiment experiment, long seed, Path folder) {
    this.experiment = experiment;
    this.seed = seed;
    this.folder = folder;
    faults = faultSchedule(experiment.getFleet());
    for (int i = 0; i < experiment.getManagers(); i++) {
      names.add("m" + i);
      zones.add("place-" + i % Math.max(1, experiment.getFleet().getPlaces()));
    }
  }

  /** Throws an exception that names the first field that cannot be used. */
  static void validate(String file, Experiment experiment) {
    FleetPlan plan = experiment.getFleet();
    LabInput.requireRange(
        file,
        "managers",
        experiment.getManagers(),
        2,
        plan.getVirtualTime() ? 1000 : MAX_PROCESSES);
    LabInput.requireRange(file, "seconds", experiment.getSeconds(), 1, 3600);
    LabInput.requireRange(file, "runs", experiment.getRuns(), 1, 1000);
    LabInput.requireRange(file, "fleet.places", plan.getPlaces(), 1, experiment.getManagers());
    LabInput.requireRange(file, "fleet.probe_every_ms", plan.getProbeEveryMs(), 100, 10_000);
    validateLinkConditions(file, "fleet.weather", plan.getWeather());
    for (LinkTrouble fault : plan.getLinksList()) {
      validateLinkConditions(file, "fleet.links.weather", fault.getWeather());
      validateEndpoint(file, "fleet.links.from", fault.getFrom(), experiment);
      validateEndpoint(file, "fleet.links.to", fault.getTo(), experiment);
    }
    checkProcesses(file, experiment);
    checkEngines(file, plan);
    for (Version version : plan.getVersionsList()) {
      validateEndpoint(file, "fleet.versions.manager", version.getManager(), experiment);
      if (!Files.isReadable(Path.of(version.getJar()))) {
        throw new InvalidInputException(
            file
                + ": fleet.versions.jar: '"
                + version.getJar()
                + "'; allowed: a jar that can be read");
      }
    }
    for (StreamTrouble fault : plan.getStreamsList()) {
      LabInput.requireRange(file, "fleet.streams.part", fault.getPart(), 0, 1);
    }
    if (plan.hasLoad()) {
      LoadFile.validated(file, plan.getLoad());
    }
    if (experiment.getClaimsCount() == 0) {
      throw new InvalidInputException(file + ": claims: missing; allowed: one and more");
    }
  }

  private static void checkProcesses(String file, Experiment experiment) {
    for (ProcessTrouble fault : experiment.getFleet().getProcessesList()) {
      if (!fault.getManager().matches("m[0-9]{1,3}")
          || index(fault.getManager()) >= experiment.getManagers()) {
        throw new InvalidInputException(
            file
                + ": fleet.processes.manager: '"
                + fault.getManager()
                + "'; allowed: m0 to m"
                + (experiment.getManagers() - 1));
      }
      LabInput.requireRange(
          file,
          "fleet.processes.for_ms",
          fault.getForMs(),
          fault.getKind() == ProcessTrouble.Kind.STOP ? 1 : 0,
          1e9);
    }
  }

  private static void checkEngines(String file, FleetPlan plan) {
    LabInput.requireRange(file, "fleet.engines", plan.getEngines(), 0, 64);
    if (plan.getEngines() > 0) {
      LabInput.requireRange(file, "fleet.engine.cores", plan.getEngine().getCores(), 0.1, 1000);
      LabInput.requireRange(
          file, "fleet.engine.most_queries", plan.getEngine().getMostQueries(), 1, 100_000);
    }
    for (EngineTrouble fault : plan.getEngineTroublesList()) {
      if (!fault.getEngine().matches("e[0-9]{1,2}")
          || index(fault.getEngine()) >= plan.getEngines()) {
        throw new InvalidInputException(
            file
                + ": fleet.engine_troubles.engine: '"
                + fault.getEngine()
                + "'; allowed: e0 to e"
                + (plan.getEngines() - 1));
      }
    }
  }

  private static int index(String name) {
    return Integer.parseInt(name.substring(1));
  }

  private static void validateEndpoint(
      String file, String field, String end, Experiment experiment) {
    boolean manager = end.matches("m[0-9]{1,3}") && index(end) < experiment.getManagers();
    boolean zone =
        end.matches("place-[0-9]{1,3}")
            && Integer.parseInt(end.substring(6)) < experiment.getFleet().getPlaces();
    if (!manager && !zone && !end.equals("*")) {
      throw new InvalidInputException(
          file + ": " + field + ": '" + end + "'; allowed: a manager (m0), a zone (place-0) or *");
    }
  }

  private static void validateLinkConditions(String file, String field, LinkWeather weather) {
    LabInput.requireRange(file, field + ".loss", weather.getLoss(), 0, 1);
    LabInput.requireRange(file, field + ".doubled", weather.getDoubled(), 0, 1);
    LabInput.requireRange(file, field + ".burst", weather.getBurst(), 0, 1000);
    LabInput.requireRange(file, field + ".least_us", weather.getLeastUs(), 0, 10_000_000);
    LabInput.requireRange(file, field + ".spread_us", weather.getSpreadUs(), 0, 10_000_000);
  }

  private static FaultSchedule faultSchedule(FleetPlan plan) {
    List<FaultSchedule.LinkFault> links = new ArrayList<>();
    for (LinkTrouble fault : plan.getLinksList()) {
      links.add(
          new FaultSchedule.LinkFault(
              fault.getAtMs() * NANOS_PER_MS,
              fault.getForMs() * NANOS_PER_MS,
              new FaultSchedule.Endpoint(fault.getFrom()),
              new FaultSchedule.Endpoint(fault.getTo()),
              fault.getBothWays(),
              linkConditions(fault.getWeather())));
    }
    List<FaultSchedule.ProcessFault> processes = new ArrayList<>();
    for (ProcessTrouble fault : plan.getProcessesList()) {
      processes.add(
          new FaultSchedule.ProcessFault(
              fault.getAtMs() * NANOS_PER_MS,
              fault.getForMs() * NANOS_PER_MS,
              fault.getManager(),
              FaultSchedule.ProcessFaultKind.valueOf(fault.getKind().name())));
    }
    List<FaultSchedule.StreamFault> streams = new ArrayList<>();
    for (StreamTrouble fault : plan.getStreamsList()) {
      streams.add(
          new FaultSchedule.StreamFault(
              fault.getAtMs() * NANOS_PER_MS,
              fault.getForMs() * NANOS_PER_MS,
              new FaultSchedule.Endpoint(fault.getFrom()),
              new FaultSchedule.Endpoint(fault.getTo()),
              FaultSchedule.StreamFaultKind.valueOf(fault.getKind().name()),
              fault.getDelayMs() * NANOS_PER_MS,
              fault.getPart()));
    }
    return new FaultSchedule(linkConditions(plan.getWeather()), links, processes, streams);
  }

  private static LinkConditions linkConditions(LinkWeather from) {
    return new LinkConditions(
        from.getLoss(),
        from.getBurst(),
        from.getDoubled(),
        from.getLeastUs() * 1000L,
        from.getSpreadUs() * 1000L);
  }

  /** Runs the experiment and returns its figures by name. */
  Map<String, Double> run() throws IOException, InterruptedException {
    return experiment.getFleet().getVirtualTime() ? runSimulation() : runProcesses();
  }

  private Map<String, Double> runSimulation() {
    List<String> seeds = names.subList(0, Math.min(3, names.size()));
    MembershipSimulation simulation =
        new MembershipSimulation(
            MembershipConfig.defaults(
                seeds, experiment.getFleet().getProbeEveryMs() * NANOS_PER_MS, 16_384),
            seed);
    for (int i = 0; i < names.size(); i++) {
      simulation.node(names.get(i), names.get(i), zones.get(i));
    }
    names.forEach(simulation::start);
    simulation.injectFaults(faults);
    simulation.runUntil(experiment.getSeconds() * 1000L * NANOS_PER_MS);
    return new MembershipMetrics(names, faults, simulation.observations(), simulation.now())
        .compute();
  }

  private Map<String, Double> runProcesses() throws IOException, InterruptedException {
    traffic = new FleetTraffic(experiment.getFleet(), faults, names, zones, seed);
    startManagers();
    Instant start = Instant.now();
    relays.startSchedule();
    long startNanos = System.nanoTime();
    traffic.start(managers.stream().map(manager -> manager.listenAddress).toList(), startNanos);
    long end = injectFaults(startNanos);
    Map<String, Double> trafficFigures = traffic.figures(folder);
    List<MembershipSimulation.Observation> observations = new ArrayList<>();
    for (ManagerProcess manager : managers) {
      observations.addAll(observations(manager, start));
    }
    Map<String, Double> figures = new MembershipMetrics(names, faults, observations, end).compute();
    figures.putAll(trafficFigures);
    figures.put("datagrams.forwarded", (double) relays.forwarded());
    figures.put("datagrams.lost", (double) relays.lost());
    return figures;
  }

  /** Starts all managers, each behind its relays, and waits until they listen. */
  private void startManagers() throws IOException, InterruptedException {
    List<InetSocketAddress> addresses = new ArrayList<>();
    for (int i = 0; i < names.size(); i++) {
      try (DatagramSocket free =
          new DatagramSocket(0, InetAddress.getByName("127.20.0." + (i + 1)))) {
        addresses.add(new InetSocketAddress(free.getLocalAddress(), free.getLocalPort()));
      }
    }
    relays = new DatagramRelays(faults, names, zones, addresses, seed);
    for (int i = 0; i < names.size(); i++) {
      managers.add(
          new ManagerProcess(
              names.get(i),
              folder.resolve(names.get(i)),
              traffic.channelAddress(i),
              traffic.knownEvents(i),
              "127.20.0." + (i + 1),
              operatorConfig(i, addresses.get(i)),
              ManagerProcess.settings(
                  names.size(), zones.get(i), experiment.getFleet().getEngine())));
      managers.get(i).useJar(jarFor(names.get(i)));
    }
    for (ManagerProcess manager : managers) {
      manager.launch();
    }
    for (ManagerProcess manager : managers) {
      manager.awaitListening();
    }
  }

  /** Injects the process faults; returns the duration of the run, in nanoseconds. */
  private long injectFaults(long startNanos) throws IOException, InterruptedException {
    for (FaultSchedule.ProcessFault fault : faults.processes()) {
      Thread thread = FakeEngine.daemonThread(() -> inject(fault, startNanos));
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
  private String jarFor(String name) {
    String jar = null;
    for (Version version : experiment.getFleet().getVersionsList()) {
      jar =
          version.getManager().equals("*") || version.getManager().equals(name)
              ? version.getJar()
              : jar;
    }
    return jar;
  }

  private String operatorConfig(int index, InetSocketAddress address) {
    FleetPlan plan = experiment.getFleet();
    StringBuilder text =
        new StringBuilder(
            "log { form: JSON_LINES }\nfleet {\n  place: \""
                + zones.get(index)
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

  private void inject(FaultSchedule.ProcessFault fault, long startNanos) {
    ManagerProcess manager = managers.get(index(fault.member()));
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
            traffic.managerRestarted(manager.name);
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
  private static List<MembershipSimulation.Observation> observations(
      ManagerProcess manager, Instant start) throws IOException {
    List<MembershipSimulation.Observation> observations = new ArrayList<>();
    for (String line : manager.logLines()) {
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
